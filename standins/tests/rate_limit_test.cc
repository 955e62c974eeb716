#include "http/rate_limit.h"

#include <criterion/criterion.h>

namespace meadowthread::standins {
namespace {

Test(a_rate_limit, allows_its_rate_and_no_more) {
  RateLimit limit(10);
  int taken = 0;
  for (std::int64_t now_ms = 1; now_ms <= 10'000; ++now_ms) {
    taken += limit.Take(now_ms) ? 1 : 0;
  }
  // The bucket starts full: 10 at once and then 10 per second.
  cr_assert(taken >= 109 && taken <= 110);
}

Test(a_rate_limit, below_one_per_second_still_allows_one_call) {
  RateLimit limit(0.5);
  cr_assert(limit.Take(1));
  cr_assert(!limit.Take(2));
  cr_assert(limit.WaitMs() >= 1990 && limit.WaitMs() <= 2000);
  cr_assert(limit.Take(2002));
}

Test(a_rate_limit, of_zero_allows_all_calls) {
  RateLimit limit(0);
  for (int call = 0; call < 1000; ++call) {
    cr_assert(limit.Take(1));
  }
}

}  // namespace
}  // namespace meadowthread::standins
