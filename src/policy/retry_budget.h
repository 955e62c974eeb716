#ifndef MEADOWTHREAD_POLICY_RETRY_BUDGET_H_
#define MEADOWTHREAD_POLICY_RETRY_BUDGET_H_

#include <cstdint>
#include <string_view>

namespace meadowthread {

/// @brief Why an attempt failed, as far as it matters for retries.
enum class AttemptFailure {
  kEngineFull,     ///< rejected by a healthy engine: not a fault
  kEngineLeaving,  ///< rejected because the engine is leaving; another one will
                   ///< do
  kUnreachable,    ///< no connection: nothing was sent
  kNoProgress,     ///< the engine sent nothing for too long
  kLost,           ///< the connection ended after bytes were sent
};

/// @brief Whether the failure indicates a fault of the engine, so that it
/// should get no new work for a while. A full engine is not at fault.
bool IsEngineFault(AttemptFailure failure);

/// @brief Whether to retry, and if not, why.
enum class RetryVerdict {
  kRetry,
  kDeadline,     ///< the deadline would pass before the retry
  kBudgetSpent,  ///< the retry budget is used up
  kAttempts,     ///< the request has used all its attempts
};

/// @brief The verdict's name in log lines.
std::string_view RetryVerdictName(RetryVerdict verdict);

/// @brief Limits and rates of RetryBudget.
struct RetryBudgetOptions {
  /// Retries added to the budget by each first attempt.
  double per_request = 0.1;
  double most_saved = 10.0;  ///< maximum number of retries in the budget
  int max_attempts = 4;      ///< for one request, including the first attempt
  std::int64_t first_backoff_ms = 50;
  std::int64_t max_backoff_ms = 2'000;
};

/// @brief A failed attempt of a request.
struct FailedAttempt {
  int attempts = 1;              ///< made so far
  std::int64_t deadline_ms = 0;  ///< 0: none
  int max_attempts = 0;  ///< limit for this request; 0: the budget's default
};

/// @brief Result of RetryBudget::Ask.
struct RetryDecision {
  RetryVerdict verdict = RetryVerdict::kRetry;
  std::int64_t backoff_ms = 0;  ///< delay before the retry, with random jitter
};

/// @brief Limits retries to a fraction of the first attempts, so that failures
/// do not multiply the load. The caller decides whether a request is safe to
/// repeat.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {});

  /// @brief Records the first attempt of a request.
  void NoteFirstAttempt();

  /// @brief Asks whether to retry; a granted retry is deducted from the budget.
  RetryDecision Ask(const FailedAttempt& failed, std::int64_t now_ms,
                    std::uint64_t random);

  /// @brief Sets the maximum number of retries in the budget: this host's share
  /// of the limit over all hosts.
  void SetMostSaved(double most_saved);

  /// @brief Number of retries that are available now.
  double Saved() const { return this->saved; }

 private:
  RetryBudgetOptions options;
  double saved;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_RETRY_BUDGET_H_
