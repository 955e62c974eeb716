#ifndef MEADOWTHREAD_CLAIMS_COUNTED_CLAIMS_H_
#define MEADOWTHREAD_CLAIMS_COUNTED_CLAIMS_H_

#include <cstddef>
#include <memory>
#include <string_view>

#include "claims/claim_service.h"

namespace meadowthread {

/// @brief Passes claims on and counts those whose end is not known yet, so that
/// a host does not end before its results are recorded.
class CountedClaims final : public ClaimService {
 public:
  /// @param[in] claims outlives this
  explicit CountedClaims(ClaimService& claims) : claims(claims) {}

  /// @brief Calls that have not been answered.
  std::size_t Pending() const { return *this->pending; }

  void Claim(const ClaimRequest& request, const ClaimDone& done) override;
  void RecordResult(const ClaimGrant& grant, const ClaimResult& result,
                    const Done& done) override;
  void Release(const ClaimGrant& grant, const Done& done) override;
  std::string_view Guarantee(KeyForm form) const override {
    return this->claims.Guarantee(form);
  }

 private:
  Done Counted(const Done& done);

  ClaimService& claims;
  /// Shared with calls under way, which may outlive this.
  std::shared_ptr<std::size_t> pending = std::make_shared<std::size_t>(0);
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_COUNTED_CLAIMS_H_
