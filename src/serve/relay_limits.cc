#include "serve/relay_limits.h"

#include <algorithm>
#include <cstddef>

namespace meadowthread {
namespace {

// Descriptors kept for listeners, the store, peers and files.
constexpr int kKeptDescriptors = 400;
// A host with fewer descriptors still serves a few callers.
constexpr int kLeastConnections = 16;
// Of the memory, for requests that are not whole yet.
constexpr std::int64_t kHeldMemoryPart = 5;
constexpr std::int64_t kMebibyte = std::int64_t{1} << 20;

void TakeWhereSet(std::int64_t from, std::int64_t* to) {
  if (from > 0) {
    *to = from;
  }
}

}  // namespace

ServerLimits RelayLimitsOf(const RelayBoundSettings& bounds,
                           const RoutingConfig* plan) {
  ServerLimits limits;
  limits.max_connections = static_cast<std::size_t>(
      std::max(kLeastConnections, (bounds.descriptors - kKeptDescriptors) / 2));
  limits.max_held_bytes = bounds.memory_mb * kMebibyte / kHeldMemoryPart;
  if (plan != nullptr) {
    TakeWhereSet(plan->bounds.max_header_bytes, &limits.max_header_bytes);
    TakeWhereSet(plan->bounds.max_body_bytes, &limits.max_body_bytes);
    TakeWhereSet(plan->bounds.header_timeout_ms, &limits.header_timeout_ms);
    TakeWhereSet(plan->bounds.idle_timeout_ms, &limits.idle_timeout_ms);
  }
  return limits;
}

}  // namespace meadowthread
