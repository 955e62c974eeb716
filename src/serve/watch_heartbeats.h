#ifndef MEADOWTHREAD_SERVE_WATCH_HEARTBEATS_H_
#define MEADOWTHREAD_SERVE_WATCH_HEARTBEATS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/gossip_channel.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "nlohmann/json.hpp"

namespace meadowthread {

/// @brief Topic of the heartbeats.
inline constexpr char kWatchHeartbeatTopic[] = "watching";

/// @brief What the heartbeats have to know of their host.
struct WatchDuties {
  /// Whether this host watches the store.
  std::function<bool()> is_watcher;
  /// The hosts that get this host's heartbeats while it watches the store.
  std::function<std::vector<std::string>()> recipients;
  /// What the heartbeats contain: for how long the store has answered this
  /// host. A host that reads the store after all watchers have gone needs it to
  /// tell servers that left from those whose entries expired.
  std::function<nlohmann::json()> payload;
  /// Reads the store once. If nothing has changed, the read waits for a change.
  std::function<void()> read_store;
};

/// @brief Heartbeats of the hosts that watch the store to those that do not.
///
/// Guards against the loss of all watchers at the same moment: a host that
/// hears of none reads the store itself, long before the exchange has found out
/// which hosts are gone.
class WatchHeartbeats {
 public:
  static constexpr std::int64_t kPeriodMs = 200;
  /// Three lost heartbeats.
  static constexpr std::int64_t kSilenceMs = 650;

  /// @param[in] channel,clock,scheduler outlive this
  WatchHeartbeats(WatchDuties duties, GossipChannel& channel,
                  const Clock& clock, Scheduler& scheduler);
  WatchHeartbeats(const WatchHeartbeats&) = delete;
  WatchHeartbeats& operator=(const WatchHeartbeats&) = delete;

  void Start();

  /// @brief Records a heartbeat of another host.
  void NoteHeard();

 private:
  void BeatAndReschedule();
  void Beat();

  WatchDuties duties;
  GossipChannel& channel;
  const Clock& clock;
  Scheduler& scheduler;
  std::int64_t heard_ms = 0;  ///< monotonic
  bool is_silent = false;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_WATCH_HEARTBEATS_H_
