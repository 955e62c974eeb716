#include "answer/attempt_outcome.h"

namespace meadowthread {

AttemptVerdict JudgeAttempt(const AttemptState& state) {
  AttemptVerdict verdict;
  if (state.generation_known) {
    // It ran. What was delivered can only go on as the same generation.
    verdict.outcome = Outcome::kInterrupted;
    verdict.may_resume = !state.close.rejected;
    return verdict;
  }
  if (!state.close.may_have_left || state.close.rejected) {
    verdict.outcome = Outcome::kNotRun;
    verdict.may_try_elsewhere = true;
    return verdict;
  }
  // From the first byte sent it may have run, unless definitely rejected.
  verdict.outcome = Outcome::kUnknown;
  return verdict;
}

}  // namespace meadowthread
