// The total delays between changes in the store and hosts that act on them.
#include "serve/propagation_delays.h"

#include <criterion/criterion.h>

#include "serve/feeder_options.h"

namespace meadowthread {
namespace {

void AssertAllWithinBounds(const std::vector<PropagationDelay>& waits) {
  for (const PropagationDelay& wait : waits) {
    cr_assert(wait.IsWithinBound(), "%s takes %lld of %lld ms",
              std::string(wait.what).c_str(),
              static_cast<long long>(wait.longest_ms),
              static_cast<long long>(wait.bound_ms));
  }
}

int Missed(const std::vector<PropagationDelay>& waits) {
  int missed = 0;
  for (const PropagationDelay& wait : waits) {
    missed += wait.IsWithinBound() ? 0 : 1;
  }
  return missed;
}

Test(the_delays_of_a_relay_host, stay_within_their_bounds) {
  const PropagationPath path = RelayPropagationPath({});
  AssertAllWithinBounds(ConfigChangeDelays(path, {}));
  AssertAllWithinBounds(ServerRemovalDelays(path, {}));
  AssertAllWithinBounds(
      ZoneEmptyingDelays(EmptiedZonesPropagationPath({}), {}));
}

Test(the_delays_of_a_native_host, stay_within_five_seconds) {
  AssertAllWithinBounds(
      ConfigChangeDelays(HostPropagationPath({}), {5'000, 5'000, 5'000}));
}

Test(excessive_delays, exceed_exactly_the_affected_bounds) {
  PropagationPath path = RelayPropagationPath({});
  path.feeder.wait_ms = 3'000;
  cr_assert(Missed(ConfigChangeDelays(path, {})) == 1,
            "with a hanging connection");
  cr_assert(Missed(ServerRemovalDelays(path, {})) == 1);
  path = EmptiedZonesPropagationPath({});
  path.feeder.wait_ms = 5'000;
  cr_assert(Missed(ZoneEmptyingDelays(path, {})) == 1);
  path = RelayPropagationPath({});
  path.feeder.most_backoff_ms = 2'000;
  cr_assert(Missed(ServerRemovalDelays(path, {})) == 1,
            "an expired entry detected late");
  cr_assert(Missed(ServerRemovalDelays(RelayPropagationPath({}),
                                       {2'000, 1'000, 3'000})) == 3,
            "a tighter bound: all but those with hanging connections");
}

}  // namespace
}  // namespace meadowthread
