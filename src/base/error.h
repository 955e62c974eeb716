#ifndef MEADOWTHREAD_BASE_ERROR_H_
#define MEADOWTHREAD_BASE_ERROR_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace meadowthread {

/// @brief Error numbers. They are stable: a number is never reused with another
/// meaning.
enum class ErrorId : int {
  kInternal = 100,
  // 1xx: errors in the caller's request.
  kMalformedRequest = 101,
  kFieldMissing = 102,
  kFieldInvalid = 103,
  kBodyTooLarge = 104,
  kBodyTimeout = 105,
  kUnknownKey = 106,
  kUnknownModel = 107,
  kIdempotencyKeyMissing = 108,
  kIdempotencyKeyReused = 109,
  kIdempotencyKeyExpired = 110,
  kResumeTokenInvalid = 111,
  kResumeTokenExpired = 112,
  kNotFound = 113,
  kHeaderTooLarge = 114,
  // 2xx: requests rejected by policy.
  kOverloaded = 201,
  kWorkspaceLimit = 202,
  kDeadlinePassed = 203,
  kNoEngine = 204,
  kHostLeaving = 205,
  kHostNotReady = 206,
  kOwnedElsewhere = 207,
  kQuarantined = 208,
  kOutsideAllowedRegions = 209,
  // 3xx: engines and backend servers.
  kConnectFailed = 301,
  kRejectedByPeer = 302,
  kConnectionLost = 303,
  kPeerTimeout = 304,
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

/// @brief Whether a request that failed was executed.
enum class Outcome {
  kNone,         ///< the error does not end a request
  kNotRun,       ///< no engine or backend server ran it or will run it
  kUnknown,      ///< it may have run
  kInterrupted,  ///< it ran but ended before its answer was complete
};

/// @brief Structured details of an error, in addition to its message.
struct ErrorDetail {
  ErrorId id = ErrorId::kInternal;
  Outcome outcome = Outcome::kNone;
  std::string step;                  ///< the step that failed
  std::string peer;                  ///< the peer involved, empty if none
  std::string field;                 ///< the invalid field, empty if none
  std::int64_t retry_after_ms = -1;  ///< when to retry; -1: not specified

  friend bool operator==(const ErrorDetail&, const ErrorDetail&) = default;
};

/// @brief The outcome's name on the wire ("none", "not_run", ...).
std::string_view OutcomeName(Outcome outcome);

/// @brief Creates a status that carries the detail as a payload.
/// @param[in] code the canonical Abseil status code
/// @param[in] detail id, outcome, step, peer, field and retry delay
/// @param[in] message a readable description
absl::Status MakeError(absl::StatusCode code, const ErrorDetail& detail,
                       std::string_view message);

/// @brief The detail carried by `status`; a default one with kInternal if it
/// carries none.
ErrorDetail DetailOf(const absl::Status& status);

/// @brief A copy of the error with another outcome.
absl::Status WithOutcome(const absl::Status& status, Outcome outcome);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_ERROR_H_
