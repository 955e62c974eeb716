#ifndef MEADOWTHREAD_CLAIMS_STORE_CLAIM_SERVICE_H_
#define MEADOWTHREAD_CLAIMS_STORE_CLAIM_SERVICE_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include "claims/claim_router.h"
#include "claims/claim_service.h"

namespace meadowthread {

/// @brief ClaimService that stores claims in the object API, where all hosts
/// share them.
///
/// Calls and callbacks run on the event loop's thread. After destruction no
/// more callbacks are called.
class StoreClaimService final : public ClaimService {
 public:
  /// @param[in] forwarder null: this host writes all shards' logs itself
  explicit StoreClaimService(const ClaimDependencies& dependencies,
                             ClaimForwarder* forwarder = nullptr);

  /// @brief Executes an operation that another host forwarded to this one.
  void ReceiveForwardedOp(const ForwardedOp& op,
                          const ClaimForwarder::ForwardDone& done);

  void Claim(const ClaimRequest& request, const ClaimDone& done) override;
  void RecordResult(const ClaimGrant& grant, const ClaimResult& result,
                    const Done& done) override;
  void Release(const ClaimGrant& grant, const Done& done) override;
  std::string_view Guarantee(KeyForm form) const override;

 private:
  struct PendingResult;

  absl::StatusOr<KeySearchRange> SearchRangeFor(
      const ClaimRequest& request) const;
  void FailLater(const ClaimDone& done, const absl::Status& status);
  void Append(const ClaimGrant& grant, const ClaimEntry& entry,
              const Done& done);
  void PutResult(const std::shared_ptr<PendingResult>& pending);

  ClaimDependencies dependencies;
  std::shared_ptr<ClaimRouter> router;
  /// Lives as long as the service. Callbacks hold a weak pointer to `alive`, to
  /// detect that the service was destroyed.
  std::shared_ptr<int> alive;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_STORE_CLAIM_SERVICE_H_
