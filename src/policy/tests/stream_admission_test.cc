// How long a stream may wait, and when a refused one should be retried.
#include "policy/stream_admission.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>

namespace meadowthread {
namespace {

// A route with long outputs: the first event is wanted within 1.8 s, and
// callers wait 39 s in all.
constexpr std::int64_t kTargetMs = 1'800;
constexpr std::int64_t kAllowedMs = 39'000;

Test(a_first_attempt, is_sent_only_where_it_starts_in_time_and_never_waits) {
  const StreamAdmissionPlan plan =
      StreamAdmission().Plan({kTargetMs, 0, kAllowedMs});
  cr_assert(plan.first_event_within_ms == 1'350);
  cr_assert(plan.may_wait_ms == 0,
            "a stream that cannot start in time is refused at once");
  cr_assert(!plan.is_late);
}

Test(a_first_attempt, waits_shortly_for_the_news_of_peers) {
  cr_assert(StreamAdmission().Plan({kTargetMs, 0, kAllowedMs}).peer_news_ms ==
            50);
  cr_assert(StreamAdmission().Plan({200, 0, kAllowedMs}).peer_news_ms == 20,
            "a tenth of its target at most");
  cr_assert(StreamAdmission().Plan({0, 0, kAllowedMs}).peer_news_ms == 50);
}

Test(an_early_retry, has_the_rest_of_its_target) {
  const StreamAdmissionPlan plan =
      StreamAdmission().Plan({kTargetMs, 700, kAllowedMs - 700});
  cr_assert(plan.first_event_within_ms == 650 && plan.may_wait_ms == 0);
}

Test(a_late_retry, waits_for_capacity_that_others_leave) {
  const StreamAdmissionPlan plan =
      StreamAdmission().Plan({kTargetMs, 9'000, kAllowedMs - 9'000});
  cr_assert(plan.first_event_within_ms == 900,
            "shorter than for first attempts");
  cr_assert(plan.may_wait_ms == 6'300, "its caller gives up after 7,200 ms");
}

Test(a_late_retry, does_not_wait_longer_than_its_caller) {
  const StreamAdmissionPlan plan =
      StreamAdmission().Plan({1'500, 2'000, 4'000});
  cr_assert(plan.first_event_within_ms == 750 && plan.may_wait_ms == 3'250);
}

Test(a_stream_without_a_target, goes_to_any_engine_with_room) {
  const StreamAdmissionPlan plan = StreamAdmission().Plan({0, 0, kAllowedMs});
  cr_assert(plan.first_event_within_ms == 0 && plan.may_wait_ms == 0);
}

// Guards against retries that form the next burst: streams refused in a burst
// of eight seconds are retried in the later half of the time for which callers
// honor Retry-After, spread over that whole half.
Test(refused_streams, are_retried_spread_over_the_honored_time) {
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

Test(refused_streams, without_time_left_still_get_a_retry_time) {
  cr_assert(StreamAdmission().ReturnAfterMs(0, 0) > 0);
}

Test(each_option, can_be_disabled) {
  const StreamAdmission accepts_late({.refuses_late = false});
  cr_assert(
      accepts_late.Plan({kTargetMs, 0, kAllowedMs}).first_event_within_ms == 0);
  const StreamAdmission without_wait({.lets_returned_wait = false});
  cr_assert(without_wait.Plan({kTargetMs, 9'000, 30'000}).may_wait_ms == 0);
  const StreamAdmission without_spread({.spreads_returns = false});
  cr_assert(without_spread.ReturnAfterMs(kAllowedMs, 7) == 300);
}

}  // namespace
}  // namespace meadowthread
