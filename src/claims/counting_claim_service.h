#ifndef MEADOWTHREAD_CLAIMS_COUNTING_CLAIM_SERVICE_H_
#define MEADOWTHREAD_CLAIMS_COUNTING_CLAIM_SERVICE_H_

#include <cstddef>
#include <memory>
#include <string_view>

#include "claims/claim_service.h"

namespace meadowthread {

/// @brief A ClaimService decorator that counts calls in progress, so that a
/// host does not exit before its results are recorded.
class CountingClaimService final : public ClaimService {
 public:
  /// @param[in] claims must outlive this object
  explicit CountingClaimService(ClaimService& claims) : claims(claims) {}

  /// @brief The number of calls that have not been answered.
  std::size_t Pending() const { return *this->pending; }

  void Claim(const ClaimRequest& request, const ClaimDone& done) override;
  void RecordResult(const ClaimGrant& grant, const ClaimResult& result,
                    const Done& done) override;
  void Release(const ClaimGrant& grant, const Done& done) override;
  std::string_view Guarantee(KeyForm form) const override {
    return this->claims.Guarantee(form);
  }

 private:
  Done CountUntilDone(const Done& done);

  ClaimService& claims;
  /// Shared with the callbacks of calls in progress, which may outlive this
  /// object.
  std::shared_ptr<std::size_t> pending = std::make_shared<std::size_t>(0);
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_COUNTING_CLAIM_SERVICE_H_
