#ifndef MEADOWTHREAD_POLICY_PEER_LOAD_H_
#define MEADOWTHREAD_POLICY_PEER_LOAD_H_

#include <cstdint>
#include <string>

#include "policy/memory_forecast.h"

namespace meadowthread {

/// @brief A KV-cache copy that began longer ago than this is assumed to be
/// over, or its host to be gone. The longest copies, each queued behind two
/// others on both of its links, took 0.7 s.
inline constexpr std::int64_t kMaxCopyMs = 900;

/// @brief Cost of queueing a KV-cache copy behind another one, in the unit of
/// PressureOptions. The delay is about as long as the time that a copy to
/// another zone takes in addition, and the last step of the run's own copy may
/// be delayed as well.
inline constexpr double kBusyLinkCost = 0.5;

/// @brief A host's report to the other hosts about its work on one engine. If a
/// report is late, lost or duplicated, hosts choose worse engines, but nothing
/// fails.
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

/// @brief A host's report to the other hosts about its usage by one workspace.
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
