#include "policy/retry_budget.h"

#include <algorithm>

namespace meadowthread {
namespace {

constexpr int kMaxDoublings = 16;

}  // namespace

bool IsEngineFault(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kEngineFull:
    case AttemptFailure::kEngineLeaving:
      return false;
    case AttemptFailure::kUnreachable:
    case AttemptFailure::kNoProgress:
    case AttemptFailure::kLost:
      return true;
  }
  return true;
}

std::string_view RetryVerdictName(RetryVerdict verdict) {
  switch (verdict) {
    case RetryVerdict::kRetry:
      return "retry";
    case RetryVerdict::kDeadline:
      return "deadline";
    case RetryVerdict::kBudgetSpent:
      return "budget_spent";
    case RetryVerdict::kAttempts:
      return "attempts";
  }
  return "unknown";
}

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : options(options), saved(options.most_saved) {}

void RetryBudget::NoteFirstAttempt() {
  this->saved = std::min(this->options.most_saved,
                         this->saved + this->options.per_request);
}

// Raising the maximum does not fill the budget: retries are earned by requests
// only.
void RetryBudget::SetMostSaved(double most_saved) {
  this->options.most_saved = most_saved;
  this->saved = std::min(this->saved, most_saved);
}

RetryDecision RetryBudget::Ask(const FailedAttempt& failed, std::int64_t now_ms,
                               std::uint64_t random) {
  const int limit = failed.max_attempts > 0 ? failed.max_attempts
                                            : this->options.max_attempts;
  if (failed.attempts >= limit) {
    return {RetryVerdict::kAttempts, 0};
  }
  const int doublings = std::clamp(failed.attempts - 1, 0, kMaxDoublings);
  const std::int64_t base =
      std::min(this->options.max_backoff_ms,
               this->options.first_backoff_ms << doublings);
  // Half of the backoff is fixed and the other half random, so that retries do
  // not coincide.
  const auto half = static_cast<std::uint64_t>(base / 2 + 1);
  const std::int64_t backoff =
      base / 2 + static_cast<std::int64_t>(random % half);
  if (failed.deadline_ms > 0 && now_ms + backoff >= failed.deadline_ms) {
    return {RetryVerdict::kDeadline, 0};
  }
  if (this->saved < 1.0) {
    return {RetryVerdict::kBudgetSpent, 0};
  }
  this->saved -= 1.0;
  return {RetryVerdict::kRetry, backoff};
}

}  // namespace meadowthread
