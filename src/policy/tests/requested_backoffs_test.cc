// Servers that ask for a backoff.
#include "policy/requested_backoffs.h"

// Criterion's macros break Abseil's headers if those are included after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

#include <string>

namespace meadowthread {
namespace {

Test(a_server_that_asks_for_backoff, is_at_rest_until_its_end) {
  RequestedBackoffs backoffs;
  backoffs.Note("s-1", 3'000, 1'000);
  cr_assert(backoffs.RemainingMs("s-1", 1'000) == 3'000);
  cr_assert(backoffs.RemainingMs("s-1", 3'999) == 1);
  cr_assert(backoffs.RemainingMs("s-1", 4'000) == 0);
  cr_assert(backoffs.RemainingMs("s-2", 1'000) == 0 &&
            backoffs.Count(1'500) == 1);
  backoffs.Remove("s-1");
  cr_assert(backoffs.RemainingMs("s-1", 1'500) == 0);
}

Test(a_server_that_asks_for_backoff,
     is_not_made_to_rest_less_by_a_later_answer) {
  RequestedBackoffs backoffs;
  backoffs.Note("s-1", 3'000, 1'000);
  backoffs.Note("s-1", 500, 2'000);
  cr_assert(backoffs.RemainingMs("s-1", 2'000) == 2'000);
  backoffs.Note("s-1", 4'000, 2'000);
  cr_assert(backoffs.RemainingMs("s-1", 2'000) == 4'000);
}

Test(a_server_that_asked_another_host, counts_as_full_and_may_be_used) {
  RequestedBackoffs backoffs;
  cr_assert(backoffs.NoteTold("s-1", 3'000, 1'000));
  cr_assert(!backoffs.NoteTold("s-1", 2'950, 1'050), "no news");
  cr_assert(backoffs.NoteTold("s-1", 3'000, 2'000), "a later end is");
  cr_assert(backoffs.IsFull("s-1", 4'999) && !backoffs.IsFull("s-1", 5'000));
  cr_assert(backoffs.RemainingMs("s-1", 2'000) == 0);
}

Test(a_server_that_asks_for_backoff, gets_one_resumed_run_at_most_in_it) {
  RequestedBackoffs backoffs;
  cr_assert(backoffs.TakeResume("s-1", 1'000) &&
            backoffs.TakeResume("s-1", 1'000));
  backoffs.Note("s-1", 3'000, 1'000);
  cr_assert(backoffs.TakeResume("s-1", 1'100) &&
            !backoffs.TakeResume("s-1", 1'200));
  cr_assert(backoffs.TakeResume("s-1", 4'000), "the backoff is over");
  backoffs.Note("s-1", 3'000, 5'000);
  cr_assert(backoffs.TakeResume("s-1", 5'100), "another backoff");
}

Test(rests_of_thousands_of_servers, are_forgotten_once_they_are_over) {
  RequestedBackoffs backoffs;
  for (std::int64_t n = 0; n < 5'000; ++n) {
    backoffs.NoteTold("s-" + std::to_string(n), 10, n * 20);
  }
  backoffs.Note("last", 1'000, 200'000);
  cr_assert(backoffs.Count(200'000) == 1);
  cr_assert(!backoffs.IsFull("s-1", 200'000));
}

}  // namespace
}  // namespace meadowthread
