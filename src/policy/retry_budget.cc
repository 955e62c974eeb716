#include "policy/retry_budget.h"

#include <algorithm>

namespace meadowthread {
namespace {

constexpr int kMostDoublings = 16;

}  // namespace

bool SpeaksAgainstEngine(AttemptFailure failure) {
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

// What is saved is not raised with the bound: it is earned by requests only.
void RetryBudget::SetMostSaved(double most_saved) {
  this->options.most_saved = most_saved;
  this->saved = std::min(this->saved, most_saved);
}

RetryAnswer RetryBudget::Ask(const FailedAttempt& failed, std::int64_t now_ms,
                             std::uint64_t random) {
  const int most = failed.max_attempts > 0 ? failed.max_attempts
                                           : this->options.max_attempts;
  if (failed.attempts >= most) {
    return {RetryVerdict::kAttempts, 0};
  }
  const int doublings = std::clamp(failed.attempts - 1, 0, kMostDoublings);
  const std::int64_t base =
      std::min(this->options.max_backoff_ms,
               this->options.first_backoff_ms << doublings);
  // Full jitter over the upper half, so that retries do not come together.
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
