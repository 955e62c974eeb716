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
    case SendObstacle::kOtherService:
      return "other-service";
    case SendObstacle::kOutsideRegions:
      return "outside-regions";
    case SendObstacle::kOtherVersion:
      return "other-version";
    case SendObstacle::kRateLimit:
      return "rate-limit";
    case SendObstacle::kBackoff:
      return "backoff";
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
  if (server->entry.service != rules.service) {
    return SendObstacle::kOtherService;
  }
  if (!MayRunIn(rules.regions, server->region)) {
    return SendObstacle::kOutsideRegions;
  }
  if (!rules.versions.Permits(server->entry.version)) {
    return SendObstacle::kOtherVersion;
  }
  const std::int64_t now_ms = deps.clock.MonotonicMs();
  if (!deps.arrivals.May(server->key, now_ms)) {
    return SendObstacle::kRateLimit;
  }
  if (deps.backoffs.RemainingMs(server->key, now_ms) > 0) {
    return SendObstacle::kBackoff;
  }
  return SendObstacle::kNone;
}

// A server that holds a copied KV cache has set room aside for the run, which
// would be lost otherwise.
bool MayResumeAt(const RelayDependencies& deps, std::string_view server) {
  const std::int64_t now_ms = deps.clock.MonotonicMs();
  return deps.arrivals.May(server, now_ms) &&
         deps.backoffs.TakeResume(server, now_ms);
}

}  // namespace meadowthread
