#ifndef MEADOWTHREAD_ANSWER_ATTEMPT_OUTCOME_H_
#define MEADOWTHREAD_ANSWER_ATTEMPT_OUTCOME_H_

#include <cstdint>

#include "absl/status/status.h"
#include "base/error.h"
#include "engine/engine_stream.h"

namespace meadowthread {

/// @brief What is known of an attempt when its connection ends.
struct AttemptState {
  StreamClose close;
  bool generation_known = false;  ///< the engine named its generation
  std::int64_t tokens_delivered = 0;
};

/// @brief What may be done and said after an attempt ended early.
struct AttemptVerdict {
  /// kNotRun, kUnknown or kInterrupted: all that may be said to the caller if
  /// nothing else is tried.
  Outcome outcome = Outcome::kUnknown;
  bool may_try_elsewhere = false;  ///< even where it may run at most once
  bool may_resume = false;         ///< the same generation may be read on
};

/// @brief The table of docs/design/outcomes.md.
AttemptVerdict JudgeAttempt(const AttemptState& state);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ANSWER_ATTEMPT_OUTCOME_H_
