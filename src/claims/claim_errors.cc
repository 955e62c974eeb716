#include "claims/claim_errors.h"

#include <string>

namespace meadowthread {
namespace {

struct ErrorTemplate {
  absl::StatusCode code;
  Outcome outcome;
  std::string_view message;
};

// Outcome::kNotRun refers to this submission only: it was not sent and never
// will be. Only the log tells whether an earlier submission with the same key
// ran. When the log cannot be read, the message therefore tells the caller to
// retry with the same key.
ErrorTemplate ErrorTemplateFor(ErrorId id) {
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
              "the key is older than the retention period; this submission was "
              "not sent, an earlier one may have run"};
    case ErrorId::kFieldInvalid:
      return {absl::StatusCode::kInvalidArgument, Outcome::kNotRun,
              "the key's timestamp is in the future"};
    case ErrorId::kDeadlinePassed:
      return {absl::StatusCode::kDeadlineExceeded, Outcome::kNotRun,
              "the deadline passed before the request could be sent; retry "
              "with the same key"};
    case ErrorId::kClaimUnsettled:
      return {absl::StatusCode::kUnavailable, Outcome::kNotRun,
              "the claim could not be confirmed in time; this submission was "
              "not sent and never will be; retry with the same key"};
    case ErrorId::kStoreMalformed:
      return {absl::StatusCode::kDataLoss, Outcome::kNotRun,
              "the claim log cannot be read; this submission was not sent"};
    case ErrorId::kOverloaded:
      return {absl::StatusCode::kResourceExhausted, Outcome::kNotRun,
              "too many claims are waiting; retry with the same key"};
    default:
      return {absl::StatusCode::kUnavailable, Outcome::kNotRun,
              "the object API is unavailable, and a request without a claim is "
              "not sent; retry with the same key"};
  }
}

}  // namespace

absl::Status ClaimError(ErrorId id, std::string_view peer,
                        std::int64_t retry_after_ms) {
  const ErrorTemplate error_template = ErrorTemplateFor(id);
  ErrorDetail detail;
  detail.id = id;
  detail.outcome = error_template.outcome;
  detail.step = "claim";
  detail.peer = std::string(peer);
  detail.retry_after_ms = retry_after_ms;
  const bool about_key = id == ErrorId::kIdempotencyKeyReused ||
                         id == ErrorId::kIdempotencyKeyExpired ||
                         id == ErrorId::kFieldInvalid;
  if (about_key) {
    detail.field = "Idempotency-Key";
  }
  return MakeError(error_template.code, detail, error_template.message);
}

}  // namespace meadowthread
