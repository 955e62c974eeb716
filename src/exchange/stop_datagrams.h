#ifndef MEADOWTHREAD_EXCHANGE_STOP_DATAGRAMS_H_
#define MEADOWTHREAD_EXCHANGE_STOP_DATAGRAMS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "exchange/datagrams.h"

namespace meadowthread {

/// @brief Interval between announcements of a planned stop to `peers` hosts, in
/// milliseconds: long enough to limit the bytes per second.
std::int64_t StopRepeatMs(std::size_t peers);

/// @brief Announces planned stops of this host to the others and records
/// theirs: when a stopping host will accept requests again.
///
/// A late, lost or duplicated datagram only makes that time less accurate.
class StopDatagrams {
 public:
  /// @param[in] hub,clock,scheduler outlive this
  StopDatagrams(DatagramHub& hub, const Clock& clock, Scheduler& scheduler);
  StopDatagrams(const StopDatagrams&) = delete;
  StopDatagrams& operator=(const StopDatagrams&) = delete;

  /// @brief Starts to announce, repeatedly, that this host is stopping.
  /// @param[in] back_ms latest time at which it accepts requests again,
  /// monotonic
  void Begin(std::int64_t back_ms);

  /// @brief Announces once that this host's process exits now.
  /// @param[in] back_in_ms time from now until it accepts requests again
  void AnnounceExit(std::int64_t back_in_ms);

  /// @brief Receives another host's announcement.
  /// @param[in] payload [milliseconds until it accepts requests again]
  void Receive(std::string_view host, const nlohmann::json& payload);

  /// @brief Milliseconds until a host accepts requests again; 0 if it announced
  /// no stop or the time has passed.
  std::int64_t AvailableInMs(std::string_view host) const;

 private:
  void AnnounceAndReschedule();

  DatagramHub& hub;
  const Clock& clock;
  Scheduler& scheduler;
  std::map<std::string, std::int64_t, std::less<>>
      return_times_ms;  ///< monotonic, by host
  std::int64_t own_back_ms = 0;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_STOP_DATAGRAMS_H_
