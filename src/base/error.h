#ifndef MEADOWTHREAD_BASE_ERROR_H_
#define MEADOWTHREAD_BASE_ERROR_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace meadowthread {

/// @brief Stable error numbers; a number is never given a second meaning.
enum class ErrorId : int {
  kInternal = 100,
  // 1xx: what the caller sent.
  kMalformedRequest = 101,
  kFieldMissing = 102,
  kFieldInvalid = 103,
  kBodyTooLarge = 104,
  kBodyLate = 105,
  kUnknownKey = 106,
  kUnknownModel = 107,
  kIdempotencyKeyMissing = 108,
  kIdempotencyKeyReused = 109,
  kIdempotencyKeyExpired = 110,
  kResumeTokenInvalid = 111,
  kResumeTokenExpired = 112,
  kNotFound = 113,
  kHeaderTooLarge = 114,
  // 2xx: refusals by policy.
  kOverloaded = 201,
  kWorkspaceLimit = 202,
  kDeadlinePassed = 203,
  kNoEngine = 204,
  kHostLeaving = 205,
  kHostNotReady = 206,
  kOwnedElsewhere = 207,
  kQuarantined = 208,
  kOutsideHomes = 209,
  // 3xx: engines and backend servers.
  kConnectFailed = 301,
  kRejectedByPeer = 302,
  kConnectionLost = 303,
  kPeerSilent = 304,
  kGenerationLost = 305,
  kPeerMalformed = 306,
  kOrderStale = 307,
  // 4xx: the object API.
  kStoreUnavailable = 401,
  kStoreConflict = 402,
  kStoreUnknown = 403,
  kStoreMalformed = 404,
  kLeaseLost = 405,
  kStoreRevisionGone = 410,
  // 5xx: configuration and settings.
  kSettingsInvalid = 501,
  kTemplateInvalid = 502,
  kTemplateConflict = 503,
  // 6xx: claims.
  kClaimHeld = 601,
  kClaimUnsettled = 602,
};

/// @brief How a request that did not complete ended.
enum class Outcome {
  kNone,         ///< not a request's end
  kNotRun,       ///< no engine or backend server ran it and none ever will
  kUnknown,      ///< it may have run
  kInterrupted,  ///< it ran and ended before its answer was whole
};

/// @brief What an error carries besides its message.
struct ErrorDetail {
  ErrorId id = ErrorId::kInternal;
  Outcome outcome = Outcome::kNone;
  std::string step;                  ///< the step at which it arose
  std::string peer;                  ///< the peer it arose with, empty if none
  std::string field;                 ///< the field at fault, empty if none
  std::int64_t retry_after_ms = -1;  ///< when to come back; -1: says nothing

  friend bool operator==(const ErrorDetail&, const ErrorDetail&) = default;
};

/// @brief The outcome's name on the wire ("none", "not_run", ...).
std::string_view OutcomeName(Outcome outcome);

/// @brief A status that carries the detail.
/// @param[in] code the canonical code
/// @param[in] detail id, outcome, step, peer, field and time to come back
/// @param[in] message what happened, for a person
absl::Status MakeError(absl::StatusCode code, const ErrorDetail& detail,
                       std::string_view message);

/// @brief The detail carried by `status`; kInternal where it carries none.
ErrorDetail DetailOf(const absl::Status& status);

/// @brief The same error with another outcome.
absl::Status WithOutcome(const absl::Status& status, Outcome outcome);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_ERROR_H_
