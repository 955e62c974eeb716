#ifndef MEADOWTHREAD_FORWARDING_PATH_PROBER_H_
#define MEADOWTHREAD_FORWARDING_PATH_PROBER_H_

#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/lifetime.h"
#include "base/scheduler.h"
#include "forwarding/path_monitor.h"
#include "net/listen_probe.h"

namespace meadowthread {

/// @brief Opens connections to servers whose paths are lost, to notice when
/// they are back. Nothing is sent on them.
class PathProber {
 public:
  /// @brief The addresses of the servers that may be connected to.
  using Addresses = std::function<std::vector<std::string>()>;

  /// @param[in] monitor,probe,scheduler,random outlive this
  PathProber(PathMonitor& monitor, ListenProbe& probe, Scheduler& scheduler,
             std::mt19937_64& random, const Addresses& addresses);
  PathProber(const PathProber&) = delete;
  PathProber& operator=(const PathProber&) = delete;

  /// @brief Starts the periodic probes.
  void Start();

 private:
  void ProbeAndReschedule();
  std::vector<std::string> Chosen();

  PathMonitor& monitor;
  ListenProbe& probe;
  Scheduler& scheduler;
  std::mt19937_64& random;
  Addresses addresses;
  Lifetime life;
};

/// @brief A ListenProbe for the search of crashed servers: a refused connection
/// says nothing about a server while this host's path to it is lost.
class PathAwareProbe final : public ListenProbe {
 public:
  /// @param[in] monitor,probe,scheduler outlive this
  PathAwareProbe(PathMonitor& monitor, ListenProbe& probe, Scheduler& scheduler)
      : monitor(monitor), probe(probe), scheduler(scheduler) {}

  void Ask(std::string_view address, std::int64_t limit_ms,
           const Done& done) override;

 private:
  PathMonitor& monitor;
  ListenProbe& probe;
  Scheduler& scheduler;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_FORWARDING_PATH_PROBER_H_
