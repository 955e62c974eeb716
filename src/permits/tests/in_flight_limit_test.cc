// How many calls a brittle server may have in flight.
#include "permits/in_flight_limit.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

constexpr std::int64_t kRaiseAfterMs = 1'200;

/// @brief Starts a call if it is permitted.
bool Start(InFlightLimit& limit, std::int64_t now_ms) {
  const bool may = limit.MayStart(now_ms, kRaiseAfterMs);
  if (may) {
    limit.NoteStarted(now_ms);
  }
  return may;
}

Test(a_server_that_has_rejected_nothing, has_no_limit_in_flight) {
  InFlightLimit limit;
  for (int n = 0; n < 100; ++n) {
    cr_assert(Start(limit, 1));
  }
}

// Guards against chance rejections: at a rate that fits its slots, a server of
// two slots met both taken for one call in five.
Test(a_server_that_rejected_its_third_call, gets_two_at_once) {
  InFlightLimit limit;
  for (int n = 0; n < 3; ++n) {
    cr_assert(Start(limit, 1));
  }
  limit.NoteRejected(2);
  limit.NoteEnded();
  cr_assert(!Start(limit, 3), "two are in flight");
  limit.NoteEnded();
  cr_assert(Start(limit, 4));
  cr_assert(!Start(limit, 5));
}

Test(a_rejection_of_the_only_call, leaves_one_at_once) {
  InFlightLimit limit;
  cr_assert(Start(limit, 1));
  limit.NoteRejected(2);
  limit.NoteEnded();
  cr_assert(Start(limit, 3));
  cr_assert(!Start(limit, 4));
}

// Guards against a limit that was learned while other work took the slots.
Test(a_limit_that_is_reached_without_rejections, rises_by_one_at_a_time) {
  InFlightLimit limit;
  cr_assert(Start(limit, 1));
  limit.NoteRejected(2);
  cr_assert(!Start(limit, 2 + kRaiseAfterMs - 1));
  cr_assert(Start(limit, 2 + kRaiseAfterMs));
  cr_assert(!Start(limit, 3 + kRaiseAfterMs));
  cr_assert(*limit.Limit() == 2);
}

// Guards against calls whose host has died holding slots for good.
Test(a_call_whose_end_is_never_reported, is_not_counted_for_long) {
  InFlightLimit limit;
  cr_assert(Start(limit, 1));
  limit.NoteRejected(2);
  cr_assert(!Start(limit, 1'000));
  cr_assert(Start(limit, 2'001));
}

}  // namespace
}  // namespace meadowthread
