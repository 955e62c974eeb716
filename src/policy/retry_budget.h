#ifndef MEADOWTHREAD_POLICY_RETRY_BUDGET_H_
#define MEADOWTHREAD_POLICY_RETRY_BUDGET_H_

#include <cstdint>
#include <string_view>

namespace meadowthread {

/// @brief Why an attempt failed, as far as retrying is concerned.
enum class AttemptFailure {
  kEngineFull,     ///< rejected by a healthy engine: not a fault
  kEngineLeaving,  ///< rejected; another engine will do
  kUnreachable,    ///< no connection: nothing was sent
  kNoProgress,     ///< the engine fell silent
  kLost,           ///< the connection ended after bytes were sent
};

/// @brief Whether the failure speaks against the engine itself, so that it
/// should be ejected for a while. A full engine is not at fault.
bool SpeaksAgainstEngine(AttemptFailure failure);

/// @brief Whether to try again.
enum class RetryVerdict {
  kRetry,
  kDeadline,     ///< no time left
  kBudgetSpent,  ///< too many retries for the work done lately
  kAttempts,     ///< too many attempts for one request
};

/// @brief The verdict's name in log lines.
std::string_view RetryVerdictName(RetryVerdict verdict);

/// @brief Rates of RetryBudget.
struct RetryBudgetOptions {
  double per_request = 0.1;  ///< retries earned by each first attempt
  double most_saved = 10.0;  ///< retries saved up for bad moments
  int max_attempts = 4;      ///< of one request, the first included
  std::int64_t first_backoff_ms = 50;
  std::int64_t max_backoff_ms = 2'000;
};

/// @brief One attempt that failed.
struct FailedAttempt {
  int attempts = 1;              ///< made so far
  std::int64_t deadline_ms = 0;  ///< 0: none
  int max_attempts = 0;          ///< of this request; 0: the budget's own bound
};

/// @brief The answer to a failed attempt.
struct RetryAnswer {
  RetryVerdict verdict = RetryVerdict::kRetry;
  std::int64_t backoff_ms = 0;  ///< wait before the retry, spread
};

/// @brief Bounds retries to a part of the first attempts, so that failures do
/// not multiply the load. Whether a retry is safe is decided elsewhere.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {});

  /// @brief A request's first attempt was made.
  void NoteFirstAttempt();

  /// @brief Asks to try again; a granted retry is spent.
  RetryAnswer Ask(const FailedAttempt& failed, std::int64_t now_ms,
                  std::uint64_t random);

  /// @brief Changes how many retries are saved up: this host's part of what
  /// all hosts may.
  void SetMostSaved(double most_saved);

  /// @brief Retries that could be granted now.
  double Saved() const { return this->saved; }

 private:
  RetryBudgetOptions options;
  double saved;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_RETRY_BUDGET_H_
