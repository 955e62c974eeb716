#include "relay/attempt_outcome.h"

namespace meadowthread {

AttemptVerdict JudgeAttempt(const AttemptFacts& facts) {
  AttemptVerdict verdict;
  if (facts.run_known) {
    // It ran. What was delivered can only go on as the same run.
    verdict.outcome = Outcome::kInterrupted;
    verdict.may_resume = !facts.rejected;
    return verdict;
  }
  if (!facts.may_have_left || facts.rejected) {
    verdict.outcome = Outcome::kNotRun;
    verdict.may_try_elsewhere = true;
    return verdict;
  }
  // From the first byte sent it may have run, unless definitely rejected.
  verdict.outcome = Outcome::kUnknown;
  return verdict;
}

}  // namespace meadowthread
