#ifndef MEADOWTHREAD_RELAY_ATTEMPT_OUTCOME_H_
#define MEADOWTHREAD_RELAY_ATTEMPT_OUTCOME_H_

#include "base/error.h"

namespace meadowthread {

/// @brief What is known about an attempt that ended without a complete answer.
struct AttemptFacts {
  bool may_have_left = false;  ///< false: no byte of the request was sent
  /// The server answered that it did not run the request.
  bool rejected = false;
  bool run_known = false;  ///< the server named its run or began to stream it
};

/// @brief What the caller may be told after such an attempt, and what may be
/// tried next.
struct AttemptVerdict {
  /// kNotRun, kUnknown or kInterrupted: the outcome to report to the caller if
  /// nothing else is tried.
  Outcome outcome = Outcome::kUnknown;
  /// A new attempt is safe even for at-most-once requests.
  bool may_try_elsewhere = false;
  bool may_resume = false;  ///< the same run may be resumed
};

/// @brief Decides how a failed attempt is reported and whether it may be
/// retried or resumed. Used for calls and for streams; the rules are in
/// docs/design/outcomes.md.
AttemptVerdict JudgeAttempt(const AttemptFacts& facts);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_ATTEMPT_OUTCOME_H_
