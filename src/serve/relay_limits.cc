#include "serve/relay_limits.h"

#include <algorithm>
#include <cstddef>

namespace meadowthread {
namespace {

// File descriptors reserved for listeners, the store, peers and files. Each
// connection is assumed to need two of the remaining ones.
constexpr int kReservedDescriptors = 400;
// Lower bound of connections if file descriptors are scarce.
constexpr int kMinConnections = 16;
// A fifth of the memory is for requests that are not fully received yet, and
// as much for answers.
constexpr std::int64_t kRequestMemoryDivisor = 5;
constexpr std::int64_t kAnswerMemoryDivisor = 5;
constexpr std::int64_t kMebibyte = std::int64_t{1} << 20;

void OverrideIfSet(std::int64_t from, std::int64_t* to) {
  if (from > 0) {
    *to = from;
  }
}

}  // namespace

ServerLimits RelayLimitsOf(const RelayBoundSettings& bounds,
                           const RoutingConfig* config) {
  ServerLimits limits;
  limits.max_connections = static_cast<std::size_t>(std::max(
      kMinConnections, (bounds.descriptors - kReservedDescriptors) / 2));
  limits.max_held_bytes = bounds.memory_mb * kMebibyte / kRequestMemoryDivisor;
  if (config != nullptr) {
    OverrideIfSet(config->bounds.max_header_bytes, &limits.max_header_bytes);
    OverrideIfSet(config->bounds.max_body_bytes, &limits.max_body_bytes);
    OverrideIfSet(config->bounds.header_timeout_ms, &limits.header_timeout_ms);
    OverrideIfSet(config->bounds.idle_timeout_ms, &limits.idle_timeout_ms);
  }
  return limits;
}

std::size_t AnswerMemoryBytes(const RelayBoundSettings& bounds) {
  return static_cast<std::size_t>(bounds.memory_mb * kMebibyte /
                                  kAnswerMemoryDivisor);
}

}  // namespace meadowthread
