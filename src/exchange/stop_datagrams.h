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

/// @brief How long until so many peers are told again, milliseconds: bounded by
/// the bytes that it takes.
std::int64_t StopAgainMs(std::size_t peers);

/// @brief Hosts that stop tell the others for how long they are away.
///
/// Late, lost or doubled it makes a time to come back worse, and nothing else.
class StopDatagrams {
 public:
  /// @param[in] hub,clock,scheduler outlive this
  StopDatagrams(DatagramHub& hub, const Clock& clock, Scheduler& scheduler);
  StopDatagrams(const StopDatagrams&) = delete;
  StopDatagrams& operator=(const StopDatagrams&) = delete;

  /// @brief This host stops: tells so now and again.
  /// @param[in] back_ms when it takes requests again at the latest, monotonic
  void Begin(std::int64_t back_ms);

  /// @brief This host's process ends now.
  /// @param[in] back_in_ms it takes requests again so much later
  void TellEnd(std::int64_t back_in_ms);

  /// @brief Takes another host's word.
  /// @param[in] payload [milliseconds until it takes requests again]
  void Take(std::string_view host, const nlohmann::json& payload);

  /// @brief How long until a host takes requests again, milliseconds; 0: it
  /// has not told that it stops.
  std::int64_t BackInMs(std::string_view host) const;

 private:
  void Step();

  DatagramHub& hub;
  const Clock& clock;
  Scheduler& scheduler;
  std::map<std::string, std::int64_t, std::less<>> back;  ///< monotonic
  std::int64_t own_back_ms = 0;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_STOP_DATAGRAMS_H_
