#include "relay/attempt_outcome.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

AttemptFacts Facts(bool left, bool rejected, bool known) {
  return {left, rejected, known};
}

Test(an_attempt, whose_connection_was_refused_has_not_run) {
  const AttemptVerdict verdict = JudgeAttempt(Facts(false, false, false));
  cr_assert(verdict.outcome == Outcome::kNotRun);
  cr_assert(verdict.may_try_elsewhere);
}

Test(an_attempt, that_was_definitely_rejected_has_not_run) {
  const AttemptVerdict verdict = JudgeAttempt(Facts(true, true, false));
  cr_assert(verdict.outcome == Outcome::kNotRun);
  cr_assert(verdict.may_try_elsewhere);
}

Test(an_attempt, that_was_cut_after_its_first_byte_is_unknown) {
  const AttemptVerdict verdict = JudgeAttempt(Facts(true, false, false));
  cr_assert(verdict.outcome == Outcome::kUnknown);
  cr_assert(!verdict.may_try_elsewhere);
  cr_assert(!verdict.may_resume);
}

Test(an_attempt, whose_run_is_known_may_only_be_resumed) {
  const AttemptVerdict verdict = JudgeAttempt(Facts(true, false, true));
  cr_assert(verdict.outcome == Outcome::kInterrupted);
  cr_assert(verdict.may_resume);
  cr_assert(!verdict.may_try_elsewhere);
}

Test(an_attempt, whose_run_the_engine_no_longer_has_is_interrupted) {
  const AttemptVerdict verdict = JudgeAttempt(Facts(true, true, true));
  cr_assert(verdict.outcome == Outcome::kInterrupted);
  cr_assert(!verdict.may_resume);
}

}  // namespace
}  // namespace meadowthread
