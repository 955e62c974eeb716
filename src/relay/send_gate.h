#ifndef MEADOWTHREAD_RELAY_SEND_GATE_H_
#define MEADOWTHREAD_RELAY_SEND_GATE_H_

#include <cstdint>
#include <string_view>

#include "policy/allowed_regions.h"
#include "policy/version_rule.h"
#include "relay/relay_dependencies.h"

namespace meadowthread {

/// @brief Why a new request may not be sent to a server now.
enum class SendObstacle {
  kNone,
  kUnknown,         ///< the server is gone
  kNotAccepting,    ///< it leaves, or is set aside
  kOtherService,    ///< the request may not run at its service
  kOutsideRegions,  ///< the request may not run in its region
  kOtherVersion,    ///< the request may not run on its version
  kRateLimit,       ///< this host's share of its rate limit is used up
  kBackoff,         ///< it has asked this host to back off
};

/// @brief The obstacle's name in log lines.
std::string_view SendObstacleName(SendObstacle obstacle);

/// @brief Where a request may run.
struct SendRules {
  std::string_view service;
  const AllowedRegions& regions;
  const VersionRule& versions;
};

/// @brief Whether this host may send a new request to a server now; asked
/// before every such send. Permits of servers that name a rate are asked for
/// after it.
/// @param[in] server null: unknown
SendObstacle ObstacleTo(const RelayDependencies& deps, const Backend* server,
                        const SendRules& rules);

/// @brief Whether a run may be resumed at a server that holds its KV cache,
/// while the server may have asked for a backoff.
bool MayResumeAt(const RelayDependencies& deps, std::string_view server);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_SEND_GATE_H_
