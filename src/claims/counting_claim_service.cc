#include "claims/counting_claim_service.h"

namespace meadowthread {

void CountingClaimService::Claim(const ClaimRequest& request,
                                 const ClaimDone& done) {
  ++*this->pending;
  this->claims.Claim(request, [count = this->pending, done](
                                  const absl::StatusOr<ClaimAnswer>& answer) {
    --*count;
    done(answer);
  });
}

void CountingClaimService::RecordResult(const ClaimGrant& grant,
                                        const ClaimResult& result,
                                        const Done& done) {
  this->claims.RecordResult(grant, result, this->CountUntilDone(done));
}

void CountingClaimService::Release(const ClaimGrant& grant, const Done& done) {
  this->claims.Release(grant, this->CountUntilDone(done));
}

ClaimService::Done CountingClaimService::CountUntilDone(const Done& done) {
  ++*this->pending;
  return [count = this->pending, done](const absl::Status& status) {
    --*count;
    done(status);
  };
}

}  // namespace meadowthread
