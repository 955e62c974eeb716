#include "base/error.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

Test(an_error, carries_its_step_and_peer) {
  ErrorDetail detail;
  detail.id = ErrorId::kConnectFailed;
  detail.outcome = Outcome::kNotRun;
  detail.step = "send";
  detail.peer = "engine-3";
  detail.retry_after_ms = 250;
  const absl::Status status =
      MakeError(absl::StatusCode::kUnavailable, detail, "refused");
  cr_assert(DetailOf(status) == detail);
  cr_assert(status.message() == "refused");
}

Test(an_error, changes_its_outcome_and_nothing_else) {
  ErrorDetail detail;
  detail.step = "stream";
  const absl::Status first =
      MakeError(absl::StatusCode::kUnavailable, detail, "lost");
  const absl::Status second = WithOutcome(first, Outcome::kInterrupted);
  cr_assert(DetailOf(second).outcome == Outcome::kInterrupted);
  cr_assert(DetailOf(second).step == "stream");
}

Test(an_error, without_details_is_internal) {
  cr_assert(DetailOf(absl::InternalError("x")).id == ErrorId::kInternal);
}

}  // namespace
}  // namespace meadowthread
