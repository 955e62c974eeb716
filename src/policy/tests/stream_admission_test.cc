// What a stream may wait for, and when a refused one comes back.
#include "policy/stream_admission.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>

namespace meadowthread {
namespace {

// A route of long answers: the first event within 1.8 s, 39 s in all.
constexpr std::int64_t kTargetMs = 1'800;
constexpr std::int64_t kAllowedMs = 39'000;

Test(a_first_attempt, is_sent_where_it_begins_in_time_and_never_waits) {
  const ArrivalPlan plan = StreamAdmission().Plan({kTargetMs, 0, kAllowedMs});
  cr_assert(plan.first_event_within_ms == 1'350);
  cr_assert(plan.may_wait_ms == 0, "what can't be in time is told at once");
  cr_assert(!plan.is_late);
}

Test(an_early_return, has_what_is_left_of_its_target) {
  const ArrivalPlan plan =
      StreamAdmission().Plan({kTargetMs, 700, kAllowedMs - 700});
  cr_assert(plan.first_event_within_ms == 650 && plan.may_wait_ms == 0);
}

Test(one_that_came_back_late, takes_room_that_others_leave_and_waits_for_it) {
  const ArrivalPlan plan =
      StreamAdmission().Plan({kTargetMs, 9'000, kAllowedMs - 9'000});
  cr_assert(plan.first_event_within_ms == 900,
            "shorter than of first attempts");
  cr_assert(plan.may_wait_ms == 6'300, "its caller gives up after 7,200");
}

Test(one_that_came_back_late, does_not_wait_beyond_what_its_caller_allows) {
  const ArrivalPlan plan = StreamAdmission().Plan({1'500, 2'000, 4'000});
  cr_assert(plan.first_event_within_ms == 750 && plan.may_wait_ms == 3'250);
}

Test(a_stream_without_a_target, goes_to_any_engine_with_room) {
  const ArrivalPlan plan = StreamAdmission().Plan({0, 0, kAllowedMs});
  cr_assert(plan.first_event_within_ms == 0 && plan.may_wait_ms == 0);
}

// The pattern: a crowd of eight seconds. Those it turns away come back into the
// later half of the time that they heed, spread over all of it.
Test(refused_streams, come_back_spread_and_within_what_callers_heed) {
  std::int64_t earliest = kAllowedMs;
  std::int64_t latest = 0;
  for (std::uint64_t random = 0; random < 1'024; ++random) {
    const std::int64_t at = StreamAdmission().ReturnAfterMs(kAllowedMs, random);
    earliest = std::min(earliest, at);
    latest = std::max(latest, at);
  }
  cr_assert(earliest >= 6'000 && earliest < 6'500);
  cr_assert(latest > 12'000 && latest < kAllowedMs / 3);
}

Test(refused_streams, with_no_time_left_are_still_told_one) {
  cr_assert(StreamAdmission().ReturnAfterMs(0, 0) > 0);
}

Test(each_part, can_be_switched_off) {
  const StreamAdmission late_too({.refuses_late = false});
  cr_assert(late_too.Plan({kTargetMs, 0, kAllowedMs}).first_event_within_ms ==
            0);
  const StreamAdmission no_wait({.lets_returned_wait = false});
  cr_assert(no_wait.Plan({kTargetMs, 9'000, 30'000}).may_wait_ms == 0);
  const StreamAdmission soon({.spreads_returns = false});
  cr_assert(soon.ReturnAfterMs(kAllowedMs, 7) == 300);
}

}  // namespace
}  // namespace meadowthread
