#include "relay/attempt_outcome.h"

namespace meadowthread {

AttemptVerdict JudgeAttempt(const AttemptFacts& facts) {
  AttemptVerdict verdict;
  if (facts.run_known) {
    // The run has started, so the answer can only be continued by the same run.
    verdict.outcome = Outcome::kInterrupted;
    verdict.may_resume = !facts.rejected;
    return verdict;
  }
  if (!facts.may_have_left || facts.rejected) {
    verdict.outcome = Outcome::kNotRun;
    verdict.may_try_elsewhere = true;
    return verdict;
  }
  // The request may have run as soon as one byte was sent, unless the server
  // rejected it.
  verdict.outcome = Outcome::kUnknown;
  return verdict;
}

}  // namespace meadowthread
