// When a stopping host may end: not before its callers have their answers, and
// in time before it would be ended by force.
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
  cr_assert(After(2'400, kNothing) == StopStep::kEndDrained);
}

Test(a_stopping_host, waits_for_runs_and_for_callers_alike) {
  cr_assert(After(5'000, {1, 1}) == StopStep::kWait);
  cr_assert(After(5'000, {0, 1}) == StopStep::kWait);
  cr_assert(After(5'000, kNothing) == StopStep::kEndDrained);
}

Test(a_stopping_host, says_its_last_word_and_ends_before_it_is_ended) {
  cr_assert(After(7'749, {1, 1}) == StopStep::kWait);
  cr_assert(After(7'750, {1, 1}) == StopStep::kLastWord);
  // then only callers are left, to whom the last word is on its way
  cr_assert(After(7'800, {0, 1}) == StopStep::kWait);
  cr_assert(After(7'820, kNothing) == StopStep::kEndDrained);
  cr_assert(After(7'950, {0, 1}) == StopStep::kEndInTime);
}

Test(a_stopping_host, with_less_time_than_the_balancer_takes_ends_in_time) {
  const StopPlan plan(0, {2'400, 1'000});
  cr_assert(plan.Next(0, kNothing) == StopStep::kWait);
  cr_assert(plan.Next(950, kNothing) == StopStep::kEndInTime);
}

Test(a_stopping_host, takes_only_what_ends_well_before_it_does) {
  cr_assert(StopPlan(kBegunMs, kBounds).LastEndMs() == 8'400);
}

Test(a_host_whose_end_nobody_forces, waits_for_each_kind_of_work_so_long) {
  cr_assert(MayEnd(0, {}));
  cr_assert(!MayEnd(59'999, {1, 0, 0}) && MayEnd(60'000, {1, 0, 0}));
  cr_assert(!MayEnd(9'999, {0, 1, 0}) && MayEnd(10'000, {0, 1, 0}));
  cr_assert(!MayEnd(899, {0, 0, 1}) && MayEnd(900, {0, 0, 1}));
  cr_assert(!MayEnd(10'000, {1, 1, 1}));
}

}  // namespace
}  // namespace meadowthread
