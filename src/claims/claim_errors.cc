#include "claims/claim_errors.h"

#include <string>

namespace meadowthread {
namespace {

struct Wording {
  absl::StatusCode code;
  Outcome outcome;
  std::string_view message;
};

// 'Not run' is said of this submission: it was not sent and never will be. Of
// earlier submissions with the same key only the log can tell, so that where
// the log cannot be read the message says to keep the key.
Wording WordingOf(ErrorId id) {
  switch (id) {
    case ErrorId::kClaimHeld:
      return {absl::StatusCode::kAborted, Outcome::kUnknown,
              "an earlier submission with this key is in progress or was "
              "lost; it may have run"};
    case ErrorId::kIdempotencyKeyReused:
      return {absl::StatusCode::kAlreadyExists, Outcome::kNotRun,
              "the key belongs to a request with another body; this one was "
              "not run"};
    case ErrorId::kIdempotencyKeyExpired:
      return {absl::StatusCode::kFailedPrecondition, Outcome::kUnknown,
              "the key is older than what is kept; this submission was not "
              "sent, an earlier one may have run"};
    case ErrorId::kFieldInvalid:
      return {absl::StatusCode::kInvalidArgument, Outcome::kNotRun,
              "the key's time lies in the future"};
    case ErrorId::kDeadlinePassed:
      return {absl::StatusCode::kDeadlineExceeded, Outcome::kNotRun,
              "the deadline passed before the request could be sent; ask "
              "again with the same key"};
    case ErrorId::kClaimUnsettled:
      return {absl::StatusCode::kUnavailable, Outcome::kNotRun,
              "the claim could not be settled in time; this submission was not "
              "sent and never will be; ask again with the same key"};
    case ErrorId::kStoreMalformed:
      return {absl::StatusCode::kDataLoss, Outcome::kNotRun,
              "the claim log cannot be read; this submission was not sent"};
    case ErrorId::kOverloaded:
      return {absl::StatusCode::kResourceExhausted, Outcome::kNotRun,
              "too many claims wait; ask again with the same key"};
    default:
      return {absl::StatusCode::kUnavailable, Outcome::kNotRun,
              "the object API is unavailable, and without a claim nothing is "
              "sent; ask again with the same key"};
  }
}

}  // namespace

absl::Status ClaimError(ErrorId id, std::string_view peer,
                        std::int64_t retry_after_ms) {
  const Wording wording = WordingOf(id);
  ErrorDetail detail;
  detail.id = id;
  detail.outcome = wording.outcome;
  detail.step = "claim";
  detail.peer = std::string(peer);
  detail.retry_after_ms = retry_after_ms;
  const bool about_key = id == ErrorId::kIdempotencyKeyReused ||
                         id == ErrorId::kIdempotencyKeyExpired ||
                         id == ErrorId::kFieldInvalid;
  if (about_key) {
    detail.field = "Idempotency-Key";
  }
  return MakeError(wording.code, detail, wording.message);
}

}  // namespace meadowthread
