// Estimating how long ago a caller made its first attempt.
#include "policy/first_attempt_time_estimator.h"

#include <criterion/criterion.h>

#include <cstdint>

namespace meadowthread {
namespace {

constexpr std::int64_t kAllowedMs = 6'000;

void FirstAttempts(FirstAttemptTimeEstimator& estimator, int count,
                   std::int64_t allowed_ms) {
  for (int i = 0; i < count; ++i) {
    cr_assert(estimator.Elapsed("route", allowed_ms) == 0);
  }
}

Test(a_retry, is_recognized_by_its_shorter_time_limit) {
  FirstAttemptTimeEstimator estimator;
  FirstAttempts(estimator, 10, kAllowedMs);
  cr_assert(estimator.Elapsed("route", 4'200) == 1'800);
  cr_assert(estimator.Elapsed("other", 4'200) == 0,
            "each route has its own estimate");
}

Test(a_retry, is_recognized_while_half_of_the_requests_are_retries) {
  FirstAttemptTimeEstimator estimator;
  FirstAttempts(estimator, 10, kAllowedMs);
  for (int i = 0; i < 200; ++i) {
    cr_assert(estimator.Elapsed("route", kAllowedMs) == 0);
    cr_assert(estimator.Elapsed("route", 4'000) == 2'000);
  }
}

Test(the_first_requests_of_a_route, give_no_estimate) {
  FirstAttemptTimeEstimator estimator;
  cr_assert(estimator.Elapsed("route", kAllowedMs) == 0);
  cr_assert(estimator.Elapsed("route", 4'000) == 0);
}

Test(requests_without_a_time_limit, count_as_first_attempts) {
  FirstAttemptTimeEstimator estimator;
  FirstAttempts(estimator, 10, kAllowedMs);
  cr_assert(estimator.Elapsed("route", 0) == 0);
}

Test(callers_without_a_common_time_limit, are_not_mistaken_for_retries) {
  FirstAttemptTimeEstimator estimator;
  int retries = 0;
  for (std::int64_t i = 0; i < 2'000; ++i) {
    retries +=
        estimator.Elapsed("route", 1'000 + (i * 7'919) % 30'000) > 0 ? 1 : 0;
  }
  // Few requests are mistaken for retries before the estimate is dropped again.
  cr_assert(retries < 600);
}

Test(one_caller_with_a_longer_time_limit,
     does_not_make_all_others_retries_for_good) {
  FirstAttemptTimeEstimator estimator;
  FirstAttempts(estimator, 50, kAllowedMs);
  estimator.Elapsed("route", 60'000);
  for (int i = 0; i < 200; ++i) {
    estimator.Elapsed("route", kAllowedMs);
  }
  cr_assert(estimator.Elapsed("route", kAllowedMs) == 0);
  cr_assert(estimator.Elapsed("route", 4'000) == 2'000);
}

}  // namespace
}  // namespace meadowthread
