#ifndef MEADOWTHREAD_CLAIMS_STORE_CLAIM_SERVICE_H_
#define MEADOWTHREAD_CLAIMS_STORE_CLAIM_SERVICE_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include "claims/claim_router.h"
#include "claims/claim_service.h"

namespace meadowthread {

/// @brief Claims kept in the object API, the same on every host.
///
/// All calls and answers are on the event loop's thread. Answers that are still
/// to come when it is destroyed are not given.
class StoreClaimService final : public ClaimService {
 public:
  /// @param[in] forwarder null: this host writes every shard's log itself
  explicit StoreClaimService(const ClaimTools& tools,
                             ClaimForwarder* forwarder = nullptr);

  /// @brief Takes an operation that another host's forwarder sent here.
  void TakeForwarded(const ForwardedOp& op,
                     const ClaimForwarder::ForwardDone& done);

  void Claim(const ClaimRequest& request, const ClaimDone& done) override;
  void RecordResult(const ClaimGrant& grant, const ClaimResult& result,
                    const Done& done) override;
  void Release(const ClaimGrant& grant, const Done& done) override;
  std::string_view Guarantee(KeyForm form) const override;

 private:
  struct PendingResult;

  absl::StatusOr<KeySpan> SpanOf(const ClaimRequest& request) const;
  void AnswerLater(const ClaimDone& done, const absl::Status& status);
  void Append(const ClaimGrant& grant, const ClaimEntry& entry,
              const Done& done);
  void PutResult(const std::shared_ptr<PendingResult>& pending);

  ClaimTools tools;
  std::shared_ptr<ClaimRouter> router;
  /// Lives as long as the service; pending answers hold it weakly.
  std::shared_ptr<int> alive;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_STORE_CLAIM_SERVICE_H_
