#ifndef MEADOWTHREAD_CLAIMS_CLAIM_FORWARDER_H_
#define MEADOWTHREAD_CLAIMS_CLAIM_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "claims/claim_entry.h"
#include "claims/claim_types.h"
#include "claims/shard_view.h"

namespace meadowthread {

/// @brief A claim, release or result that is sent to its shard's preferred
/// host. The sender chooses the nonce, so duplicates are harmless.
struct ForwardedOp {
  std::uint32_t shard = 0;
  ClaimEntry entry;
  KeySearchRange search_range;
  std::int64_t deadline_ms = 0;  ///< of the request, for a claim
  std::int64_t limit_ms = 0;     ///< wall time at which the sender times out
};

/// @brief The preferred host's answer to a forwarded operation.
struct ForwardedAnswer {
  /// For a claim: the answer of ClaimService::Claim, with its ErrorDetail.
  absl::StatusOr<ClaimAnswer> claim = ClaimAnswer(ClaimGrant{});
  /// For a release or a result: whether it is stored.
  absl::Status recorded;
};

/// @brief Sends operations to the preferred host of their shard, so that a
/// single host writes a shard's head. This only avoids write conflicts: if
/// forwarding fails, is late or selects the wrong host, the sender writes the
/// log itself.
class ClaimForwarder {
 public:
  /// Gets the answer, or an error if none arrived; after an error the operation
  /// may or may not have been executed.
  using ForwardDone =
      std::function<void(const absl::StatusOr<ForwardedAnswer>&)>;

  virtual ~ClaimForwarder() = default;

  /// @brief The host to send to; empty: this host writes the log itself.
  virtual std::string PreferredHost(std::uint32_t shard) const = 0;

  /// @brief Sends `op` to StoreClaimService::ReceiveForwardedOp on `host`;
  /// `done` is called at most once, and never from within this call.
  virtual void Forward(std::string_view host, const ForwardedOp& op,
                       const ForwardDone& done) = 0;
};

/// @brief A shard's preferred host by rendezvous hashing: adding or removing a
/// host reassigns only that host's shards. Empty if `hosts` is empty.
/// @complexity linear in the number of hosts
std::string_view RendezvousHost(std::uint32_t shard,
                                std::span<const std::string> hosts);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_CLAIM_FORWARDER_H_
