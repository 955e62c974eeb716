#ifndef MEADOWTHREAD_POLICY_PEER_LOAD_H_
#define MEADOWTHREAD_POLICY_PEER_LOAD_H_

#include <cstdint>
#include <string>

#include "policy/memory_forecast.h"

namespace meadowthread {

/// @brief A KV-cache copy that began longer ago than this is over, or its host
/// is gone. The longest copies, queued behind two others on both of their
/// links, took 0.7 s.
inline constexpr std::int64_t kMaxCopyMs = 900;

/// @brief Cost of queueing a KV-cache copy behind another one, in the unit of
/// PressureOptions: the delay is about as long as the extra time of a copy to
/// another zone, and the run's last step may be delayed as well.
inline constexpr double kBusyLinkCost = 0.5;

/// @brief A host's report to the others of its work on one engine. If it is
/// late, lost or duplicated, choices become worse but stay correct.
struct PeerLoad {
  std::string peer;
  std::string engine;
  std::int64_t as_of_unix_ms = 0;
  int in_flight = 0;
  std::int64_t kv_held = 0;  ///< tokens
  /// Prompt tokens of streams that have not generated anything yet.
  std::int64_t reading = 0;
  int copies = 0;  ///< KV-cache copies of this peer on the engine's link now
  MemoryForecast forecast;
};

/// @brief A host's report to the others of a workspace's usage.
struct PeerWorkspaceUsage {
  std::string peer;
  std::string workspace;
  std::int64_t as_of_unix_ms = 0;
  double requests_per_second = 0.0;  ///< offered, before limits
  double tokens_per_second = 0.0;    ///< offered, before limits
  int in_flight = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_PEER_LOAD_H_
