#include "relay/send_gate.h"

namespace meadowthread {

std::string_view SendObstacleName(SendObstacle obstacle) {
  switch (obstacle) {
    case SendObstacle::kNone:
      return "none";
    case SendObstacle::kUnknown:
      return "unknown";
    case SendObstacle::kNotAccepting:
      return "not-accepting";
    case SendObstacle::kOutsideRegions:
      return "outside-regions";
    case SendObstacle::kOtherVersion:
      return "other-version";
    case SendObstacle::kRateLimit:
      return "rate-limit";
  }
  return "none";
}

SendObstacle ObstacleTo(const RelayDependencies& deps, const Backend* server,
                        const SendRules& rules) {
  if (server == nullptr) {
    return SendObstacle::kUnknown;
  }
  if (!server->AcceptsNewRequests()) {
    return SendObstacle::kNotAccepting;
  }
  if (!MayRunIn(rules.regions, server->region)) {
    return SendObstacle::kOutsideRegions;
  }
  if (!rules.versions.Permits(server->entry.version)) {
    return SendObstacle::kOtherVersion;
  }
  if (!deps.arrivals.May(server->key, deps.clock.MonotonicMs())) {
    return SendObstacle::kRateLimit;
  }
  return SendObstacle::kNone;
}

}  // namespace meadowthread
