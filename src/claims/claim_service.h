#ifndef MEADOWTHREAD_CLAIMS_CLAIM_SERVICE_H_
#define MEADOWTHREAD_CLAIMS_CLAIM_SERVICE_H_

#include <functional>
#include <string_view>

#include "absl/status/statusor.h"
#include "claims/claim_types.h"

namespace meadowthread {

/// @brief Ensures that a request marked as not repeatable is sent at most once.
///
/// A request is sent only after a claim on its idempotency key was granted. A
/// key has at most one grant at a time, over all hosts.
///
/// Errors of Claim, with the outcome that they report for the request
/// (docs/design/claims.md): kClaimHeld (unknown), kIdempotencyKeyReused (not
/// run), kIdempotencyKeyExpired (unknown), kFieldInvalid (not run),
/// kStoreUnavailable (not run), kClaimUnsettled (not run), kDeadlinePassed
/// (not run), kStoreMalformed (not run).
class ClaimService {
 public:
  using ClaimDone = std::function<void(const absl::StatusOr<ClaimAnswer>&)>;
  using Done = std::function<void(const absl::Status&)>;

  virtual ~ClaimService() = default;

  /// @brief Requests permission to send; `done` is called once, and never from
  /// within this call.
  virtual void Claim(const ClaimRequest& request, const ClaimDone& done) = 0;

  /// @brief Records the response for retries. `done` reports whether it is
  /// stored; the response to the caller need not wait for it.
  virtual void RecordResult(const ClaimGrant& grant, const ClaimResult& result,
                            const Done& done) = 0;

  /// @brief Releases the claim, so that the key can be claimed again. Only for
  /// a request that will not be sent any more, and only if no byte of it was
  /// sent or the backend server definitely rejected it.
  virtual void Release(const ClaimGrant& grant, const Done& done) = 0;

  /// @brief The guarantee for keys of this form, as text for operators.
  virtual std::string_view Guarantee(KeyForm form) const = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_CLAIM_SERVICE_H_
