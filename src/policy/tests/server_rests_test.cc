// Servers that ask for rest.
#include "policy/server_rests.h"

// Criterion's macros break Abseil's headers if those are included after it.
// clang-format off
#include <criterion/criterion.h>
// clang-format on

#include <string>

namespace meadowthread {
namespace {

Test(a_server_that_asks_for_rest, is_at_rest_until_its_end) {
  ServerRests rests;
  rests.Note("s-1", 3'000, 1'000);
  cr_assert(rests.RestingForMs("s-1", 1'000) == 3'000);
  cr_assert(rests.RestingForMs("s-1", 3'999) == 1);
  cr_assert(rests.RestingForMs("s-1", 4'000) == 0);
  cr_assert(rests.RestingForMs("s-2", 1'000) == 0 && rests.Count(1'500) == 1);
  rests.Remove("s-1");
  cr_assert(rests.RestingForMs("s-1", 1'500) == 0);
}

Test(a_server_that_asks_for_rest, is_not_made_to_rest_less_by_a_later_answer) {
  ServerRests rests;
  rests.Note("s-1", 3'000, 1'000);
  rests.Note("s-1", 500, 2'000);
  cr_assert(rests.RestingForMs("s-1", 2'000) == 2'000);
  rests.Note("s-1", 4'000, 2'000);
  cr_assert(rests.RestingForMs("s-1", 2'000) == 4'000);
}

Test(a_server_that_asked_another_host, counts_as_full_and_may_be_used) {
  ServerRests rests;
  cr_assert(rests.NoteTold("s-1", 3'000, 1'000));
  cr_assert(!rests.NoteTold("s-1", 2'950, 1'050), "no news");
  cr_assert(rests.NoteTold("s-1", 3'000, 2'000), "a later end is");
  cr_assert(rests.IsFull("s-1", 4'999) && !rests.IsFull("s-1", 5'000));
  cr_assert(rests.RestingForMs("s-1", 2'000) == 0);
}

Test(a_server_that_asks_for_rest, gets_one_resumed_run_at_most_in_it) {
  ServerRests rests;
  cr_assert(rests.TakeResume("s-1", 1'000) && rests.TakeResume("s-1", 1'000));
  rests.Note("s-1", 3'000, 1'000);
  cr_assert(rests.TakeResume("s-1", 1'100) && !rests.TakeResume("s-1", 1'200));
  cr_assert(rests.TakeResume("s-1", 4'000), "the rest is over");
  rests.Note("s-1", 3'000, 5'000);
  cr_assert(rests.TakeResume("s-1", 5'100), "another rest");
}

Test(rests_of_thousands_of_servers, are_forgotten_once_they_are_over) {
  ServerRests rests;
  for (std::int64_t n = 0; n < 5'000; ++n) {
    rests.NoteTold("s-" + std::to_string(n), 10, n * 20);
  }
  rests.Note("last", 1'000, 200'000);
  cr_assert(rests.Count(200'000) == 1);
  cr_assert(!rests.IsFull("s-1", 200'000));
}

}  // namespace
}  // namespace meadowthread
