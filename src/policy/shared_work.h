#ifndef MEADOWTHREAD_POLICY_SHARED_WORK_H_
#define MEADOWTHREAD_POLICY_SHARED_WORK_H_

#include <cstdint>
#include <string>

#include "policy/memory_forecast.h"

namespace meadowthread {

/// @brief A copy of a run that began so many milliseconds ago is over, or its
/// host is gone: the longest ones, behind two others on both of their links,
/// took 0.7 s.
inline constexpr std::int64_t kLongestCopyMs = 900;

/// @brief Cost of a copy behind another one, in PressureOptions' unit: it waits
/// for about as long as one to another zone takes longer, and the run's last
/// step may come to wait as well.
inline constexpr double kBusyLinkCost = 0.5;

/// @brief What one entry host tells the others of its work on one engine.
/// Late, lost or doubled, it makes choices worse but never wrong.
struct PeerLoad {
  std::string peer;
  std::string engine;
  std::int64_t as_of_unix_ms = 0;
  int in_flight = 0;
  std::int64_t kv_held = 0;  ///< tokens
  /// Prompt tokens of those that have generated nothing yet.
  std::int64_t reading = 0;
  int copies = 0;  ///< of runs, that it has on the engine's link now
  MemoryForecast forecast;
};

/// @brief What one entry host tells the others of a workspace's use.
struct PeerUse {
  std::string peer;
  std::string workspace;
  std::int64_t as_of_unix_ms = 0;
  double requests_per_second = 0.0;  ///< offered, before limits
  double tokens_per_second = 0.0;    ///< offered, before limits
  int in_flight = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_SHARED_WORK_H_
