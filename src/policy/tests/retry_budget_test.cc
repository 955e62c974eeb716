#include "policy/retry_budget.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

Test(a_retry_budget, grants_retries_as_a_part_of_first_attempts) {
  RetryBudget budget;
  int granted = 0;
  for (int i = 0; i < 1'000; ++i) {
    budget.NoteFirstAttempt();
    const RetryDecision answer = budget.Ask({1, 0}, 0, 1);
    granted += answer.verdict == RetryVerdict::kRetry ? 1 : 0;
  }
  cr_assert(granted >= 100 && granted <= 111);
}

Test(a_retry_budget, never_goes_beyond_the_deadline) {
  RetryBudget budget;
  cr_assert(budget.Ask({1, 1'010}, 1'000, 1).verdict ==
            RetryVerdict::kDeadline);
  cr_assert(budget.Ask({1, 5'000}, 1'000, 1).verdict == RetryVerdict::kRetry);
}

Test(a_retry_budget, limits_the_attempts_of_one_request) {
  RetryBudget budget;
  cr_assert(budget.Ask({4, 0}, 0, 1).verdict == RetryVerdict::kAttempts);
}

Test(a_retry_budget, waits_longer_each_time) {
  RetryBudget budget;
  const RetryDecision first = budget.Ask({1, 0}, 0, 0);
  const RetryDecision third = budget.Ask({3, 0}, 0, 0);
  cr_assert(third.backoff_ms >= 4 * first.backoff_ms);
}

Test(a_full_engine, is_not_at_fault) {
  cr_assert(!IsEngineFault(AttemptFailure::kEngineFull));
  cr_assert(IsEngineFault(AttemptFailure::kNoProgress));
}

}  // namespace
}  // namespace meadowthread
