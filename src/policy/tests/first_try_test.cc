// How long ago a caller asked for the first time.
#include "policy/first_try.h"

#include <criterion/criterion.h>

#include <cstdint>

namespace meadowthread {
namespace {

constexpr std::int64_t kAllowedMs = 6'000;

void FirstAttempts(FirstTry& tries, int count, std::int64_t allowed_ms) {
  for (int i = 0; i < count; ++i) {
    cr_assert(tries.Elapsed("route", allowed_ms) == 0);
  }
}

Test(a_return, is_told_by_what_its_caller_no_longer_waits) {
  FirstTry tries;
  FirstAttempts(tries, 10, kAllowedMs);
  cr_assert(tries.Elapsed("route", 4'200) == 1'800);
  cr_assert(tries.Elapsed("other", 4'200) == 0, "each route by itself");
}

Test(a_return, is_told_while_as_many_come_back_as_come_first) {
  FirstTry tries;
  FirstAttempts(tries, 10, kAllowedMs);
  for (int i = 0; i < 200; ++i) {
    cr_assert(tries.Elapsed("route", kAllowedMs) == 0);
    cr_assert(tries.Elapsed("route", 4'000) == 2'000);
  }
}

Test(the_first_requests_of_a_route, say_nothing) {
  FirstTry tries;
  cr_assert(tries.Elapsed("route", kAllowedMs) == 0);
  cr_assert(tries.Elapsed("route", 4'000) == 0);
}

Test(callers_that_tell_no_limit, are_at_their_first_attempt) {
  FirstTry tries;
  FirstAttempts(tries, 10, kAllowedMs);
  cr_assert(tries.Elapsed("route", 0) == 0);
}

Test(callers_that_all_allow_another_time, are_not_taken_for_returns) {
  FirstTry tries;
  int returns = 0;
  for (std::int64_t i = 0; i < 2'000; ++i) {
    returns += tries.Elapsed("route", 1'000 + (i * 7'919) % 30'000) > 0 ? 1 : 0;
  }
  // Few are taken for returns before the guess is dropped again.
  cr_assert(returns < 600);
}

Test(one_caller_that_waits_longer, does_not_mark_all_others_for_good) {
  FirstTry tries;
  FirstAttempts(tries, 50, kAllowedMs);
  tries.Elapsed("route", 60'000);
  for (int i = 0; i < 200; ++i) {
    tries.Elapsed("route", kAllowedMs);
  }
  cr_assert(tries.Elapsed("route", kAllowedMs) == 0);
  cr_assert(tries.Elapsed("route", 4'000) == 2'000);
}

}  // namespace
}  // namespace meadowthread
