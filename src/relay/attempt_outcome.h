#ifndef MEADOWTHREAD_RELAY_ATTEMPT_OUTCOME_H_
#define MEADOWTHREAD_RELAY_ATTEMPT_OUTCOME_H_

#include "base/error.h"

namespace meadowthread {

/// @brief What is known of an attempt that ended without a whole answer.
struct AttemptFacts {
  bool may_have_left = false;  ///< false: certainly no byte was sent
  bool rejected = false;       ///< the server's definite answer: not run
  bool run_known = false;      ///< the server named or streamed its run
};

/// @brief What may be done and said after such an attempt.
struct AttemptVerdict {
  /// kNotRun, kUnknown or kInterrupted: all that may be said to the caller if
  /// nothing else is tried.
  Outcome outcome = Outcome::kUnknown;
  bool may_try_elsewhere = false;  ///< even where it may run at most once
  bool may_resume = false;         ///< the same run may be read on
};

/// @brief The table of docs/design/outcomes.md, for both interfaces.
AttemptVerdict JudgeAttempt(const AttemptFacts& facts);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_ATTEMPT_OUTCOME_H_
