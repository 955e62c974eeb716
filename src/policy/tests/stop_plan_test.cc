// When a stopping host may exit: not before its callers have their responses,
// but in time before it would be killed.
#include "policy/stop_plan.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

constexpr std::int64_t kBegunMs = 1'000;
constexpr StopBounds kBounds = {2'400, 8'000};
constexpr StopWork kNothing = {0, 0};

StopStep After(std::int64_t ms, const StopWork& work) {
  return StopPlan(kBegunMs, kBounds).Next(kBegunMs + ms, work);
}

Test(a_stopping_host_with_nothing_to_do, stays_until_its_stop_is_noticed) {
  cr_assert(After(0, kNothing) == StopStep::kWait);
  cr_assert(After(2'399, kNothing) == StopStep::kWait);
  cr_assert(After(2'400, kNothing) == StopStep::kExitDrained);
}

Test(a_stopping_host, waits_for_requests_and_for_callers) {
  cr_assert(After(5'000, {1, 1}) == StopStep::kWait);
  cr_assert(After(5'000, {0, 1}) == StopStep::kWait);
  cr_assert(After(5'000, kNothing) == StopStep::kExitDrained);
}

Test(a_stopping_host, aborts_requests_and_exits_before_it_is_killed) {
  cr_assert(After(7'749, {1, 1}) == StopStep::kWait);
  cr_assert(After(7'750, {1, 1}) == StopStep::kAbortRequests);
  // No request is in progress; only error responses are still on their way to
  // callers.
  cr_assert(After(7'800, {0, 1}) == StopStep::kWait);
  cr_assert(After(7'820, kNothing) == StopStep::kExitDrained);
  cr_assert(After(7'950, {0, 1}) == StopStep::kExitBeforeKill);
}

Test(a_stopping_host, with_a_short_grace_period_exits_before_it_is_killed) {
  const StopPlan plan(0, {2'400, 1'000});
  cr_assert(plan.Next(0, kNothing) == StopStep::kWait);
  cr_assert(plan.Next(950, kNothing) == StopStep::kExitBeforeKill);
}

Test(a_stopping_host, accepts_only_requests_that_end_well_before_it_is_killed) {
  cr_assert(StopPlan(kBegunMs, kBounds).LatestAllowedEndMs() == 8'400);
}

Test(a_host_that_is_not_killed, waits_for_each_kind_of_work_up_to_a_limit) {
  cr_assert(MayExit(0, {}));
  cr_assert(!MayExit(59'999, {1, 0, 0}) && MayExit(60'000, {1, 0, 0}));
  cr_assert(!MayExit(9'999, {0, 1, 0}) && MayExit(10'000, {0, 1, 0}));
  cr_assert(!MayExit(899, {0, 0, 1}) && MayExit(900, {0, 0, 1}));
  cr_assert(!MayExit(10'000, {1, 1, 1}));
}

}  // namespace
}  // namespace meadowthread
