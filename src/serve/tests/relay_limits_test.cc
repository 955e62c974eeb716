#include "serve/relay_limits.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

RelayBoundSettings Bounds() {
  RelayBoundSettings bounds;
  bounds.memory_mb = 100;
  bounds.descriptors = 2'400;
  return bounds;
}

Test(a_hosts_limits, derive_from_its_descriptors_and_memory) {
  const ServerLimits limits = RelayLimitsOf(Bounds(), nullptr);
  cr_assert(limits.max_connections == 1'000);
  constexpr std::int64_t kFifthOfMemory = std::int64_t{20} << 20;
  cr_assert(limits.max_held_bytes == kFifthOfMemory);
}

Test(a_hosts_limits, allow_a_few_connections_if_descriptors_are_scarce) {
  RelayBoundSettings bounds = Bounds();
  bounds.descriptors = 100;
  cr_assert(RelayLimitsOf(bounds, nullptr).max_connections == 16);
}

Test(a_hosts_limits, are_overridden_by_the_routing_config) {
  RoutingConfig config;
  config.bounds.max_body_bytes = 70'000;
  const ServerLimits own = RelayLimitsOf(Bounds(), nullptr);
  const ServerLimits limits = RelayLimitsOf(Bounds(), &config);
  cr_assert(limits.max_body_bytes == 70'000);
  cr_assert(limits.max_header_bytes == own.max_header_bytes);
  cr_assert(limits.idle_timeout_ms == own.idle_timeout_ms);
}

}  // namespace
}  // namespace meadowthread
