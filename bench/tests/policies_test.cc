#include "policies.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <vector>

#include "driver.h"
#include "report.h"
#include "workload.h"

// Regression bounds: ratios between policies on the same arrivals and seeds, in
// virtual time, so that the verdict is the same on every machine.

namespace meadowthread::bench {
namespace {

// Capacities as the oracle's run found them (docs/BENCH.md), so that a slower
// policy cannot lower the load it is judged at.
constexpr double kLukotCapacity = 19'091.0;
constexpr double kLacteaCapacity = 17'225.0;
constexpr int kSeeds = 2;

Row RowAt(const Deployment& deployment, double tokens_per_second,
          const NamedPolicy& policy) {
  std::vector<RunResult> results;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RunSettings settings;
    settings.tokens_per_second = tokens_per_second;
    settings.seed = seed;
    settings.duration_us = 360'000'000;
    results.push_back(Run(deployment, *policy.factory, settings));
  }
  return RowOf(results);
}

NamedPolicy PolicyOf(const Deployment& deployment) {
  MemoryAwareSetup setup;
  setup.options.weights = deployment.weights;
  return MemoryAwarePolicy("memory_aware", setup);
}

void StallsLessThan(const Row& ours, const Row& least) {
  cr_assert(ours.stall_s_per_1000 <= least.stall_s_per_1000 / 3.0);
  cr_assert(ours.preemptions_per_1000 <= least.preemptions_per_1000 / 3.0);
}

void IsAsQuickAs(const Row& ours, const Row& two) {
  cr_assert(ours.gap_p95_ms <= two.gap_p95_ms);
  cr_assert(ours.gap_p99_ms <= two.gap_p99_ms);
}

void CompletesAsMuchAs(const Row& ours, const Row& two) {
  cr_assert(ours.tokens_per_s >= 0.97 * two.tokens_per_s);
}

void ServesUrgentWork(const Row& ours, const Row& two) {
  cr_assert(ours.urgent_wait_p95_ms <= two.urgent_wait_p95_ms / 3.0);
  cr_assert(ours.urgent_refused_per_1000 <= 0.1);
}

void HoldsItsBounds(const Deployment& deployment, double capacity) {
  constexpr double kLoad = 1.1;
  const double offered = capacity * kLoad;
  const Row ours = RowAt(deployment, offered, PolicyOf(deployment));
  const Row least = RowAt(deployment, offered, Baseline("least_load"));
  const Row two = RowAt(deployment, offered, Baseline("power_of_two"));
  StallsLessThan(ours, least);
  IsAsQuickAs(ours, two);
  CompletesAsMuchAs(ours, two);
  ServesUrgentWork(ours, two);
}

Test(the_policy, holds_its_bounds_on_lukot_beyond_capacity) {
  HoldsItsBounds(Lukot(), kLukotCapacity);
}

Test(the_policy, holds_its_bounds_on_lactea_norte_beyond_capacity) {
  HoldsItsBounds(LacteaNorte(), kLacteaCapacity);
}

Test(the_policy, costs_nothing_below_capacity) {
  const Deployment deployment = Lukot();
  const double offered = kLukotCapacity * 0.6;
  const Row ours = RowAt(deployment, offered, PolicyOf(deployment));
  const Row two = RowAt(deployment, offered, Baseline("power_of_two"));
  cr_assert(ours.refused_percent == 0.0);
  cr_assert(ours.gap_p95_ms <= 1.02 * two.gap_p95_ms);
  cr_assert(ours.tokens_per_s >= 0.99 * two.tokens_per_s);
}

Test(a_greater_weight, lowers_its_own_measure) {
  const Deployment deployment = LacteaNorte();
  const double offered = kLacteaCapacity * 1.1;
  MemoryAwareSetup even;
  even.options.weights = {2.0, 2.0, 1.0};
  MemoryAwareSetup stall = even;
  stall.options.weights.stall = 8.0;
  MemoryAwareSetup preemption = even;
  preemption.options.weights.preemption = 8.0;
  const Row base = RowAt(deployment, offered, MemoryAwarePolicy("even", even));
  const Row less_stall =
      RowAt(deployment, offered, MemoryAwarePolicy("stall", stall));
  const Row less_preemption =
      RowAt(deployment, offered, MemoryAwarePolicy("preemption", preemption));
  cr_assert(less_stall.stall_s_per_1000 < 0.8 * base.stall_s_per_1000);
  cr_assert(less_preemption.preemptions_per_1000 <
            0.8 * base.preemptions_per_1000);
}

}  // namespace
}  // namespace meadowthread::bench
