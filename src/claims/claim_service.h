#ifndef MEADOWTHREAD_CLAIMS_CLAIM_SERVICE_H_
#define MEADOWTHREAD_CLAIMS_CLAIM_SERVICE_H_

#include <functional>
#include <string_view>

#include "absl/status/statusor.h"
#include "claims/claim_types.h"

namespace meadowthread {

/// @brief Sees to it that a request marked not repeatable is sent at most once.
///
/// Errors of Claim, with what they say of the request (docs/design/claims.md):
/// kClaimHeld (unknown), kIdempotencyKeyReused (not run),
/// kIdempotencyKeyExpired (unknown), kFieldInvalid (not run),
/// kStoreUnavailable (not run), kClaimUnsettled (not run), kDeadlinePassed
/// (not run), kStoreMalformed (not run).
class ClaimService {
 public:
  using ClaimDone = std::function<void(const absl::StatusOr<ClaimAnswer>&)>;
  using Done = std::function<void(const absl::Status&)>;

  virtual ~ClaimService() = default;

  /// @brief Asks for the right to send; `done` is called later, once.
  virtual void Claim(const ClaimRequest& request, const ClaimDone& done) = 0;

  /// @brief Records the answer for retries. `done` tells whether it stands; the
  /// caller's own answer need not wait for it.
  virtual void RecordResult(const ClaimGrant& grant, const ClaimResult& result,
                            const Done& done) = 0;

  /// @brief Gives the right back. Only for a request of which no byte was sent,
  /// or which the other side definitely rejected, and which is never sent.
  virtual void Release(const ClaimGrant& grant, const Done& done) = 0;

  /// @brief What an operator is to be told about keys of this form.
  virtual std::string_view Guarantee(KeyForm form) const = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_CLAIM_SERVICE_H_
