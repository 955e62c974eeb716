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

/// @brief A claim, release or result on its way to its shard's preferred host.
/// The nonce is the sender's, so that a second sending does no harm.
struct ForwardedOp {
  std::uint32_t shard = 0;
  ClaimEntry entry;
  KeySpan span;
  std::int64_t deadline_ms = 0;
  std::int64_t limit_ms = 0;
};

/// @brief What the preferred host said.
struct ForwardedAnswer {
  /// Of a claim: as ClaimService::Claim answers it, its ErrorDetail included.
  absl::StatusOr<ClaimAnswer> claim = ClaimAnswer(ClaimGrant{});
  /// Of a release or a result: whether it stands.
  absl::Status recorded;
};

/// @brief Carries operations to the preferred host of their shard, so that one
/// host writes a shard's head. A measure for speed only: where it fails, is
/// late or names the wrong host, the sender writes the log itself.
class ClaimForwarder {
 public:
  /// Told the answer, or an error where none came (whatever became of it).
  using ForwardDone =
      std::function<void(const absl::StatusOr<ForwardedAnswer>&)>;

  virtual ~ClaimForwarder() = default;

  /// @brief The host to send to; empty: write the log from here.
  virtual std::string PreferredHost(std::uint32_t shard) const = 0;

  /// @brief Sends `op` to StoreClaimService::TakeForwarded of `host`; `done` is
  /// called later, at most once.
  virtual void Forward(std::string_view host, const ForwardedOp& op,
                       const ForwardDone& done) = 0;
};

/// @brief The preferred host by rendezvous hashing: a host that comes or goes
/// moves only its own shards. Empty where `hosts` is.
/// @complexity linear in the number of hosts
std::string_view RendezvousHost(std::uint32_t shard,
                                std::span<const std::string> hosts);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_CLAIM_FORWARDER_H_
