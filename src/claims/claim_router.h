#ifndef MEADOWTHREAD_CLAIMS_CLAIM_ROUTER_H_
#define MEADOWTHREAD_CLAIMS_CLAIM_ROUTER_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "claims/claim_forwarder.h"
#include "claims/shard_log.h"

namespace meadowthread {

/// @brief Routes each operation to its shard's log. It forwards the operation
/// if another host is preferred for the shard; otherwise, or if forwarding
/// fails, this host writes the log itself.
class ClaimRouter final : public std::enable_shared_from_this<ClaimRouter> {
 public:
  /// @param[in] forwarder null: this host writes every operation itself
  ClaimRouter(const ClaimDependencies& dependencies, ClaimForwarder* forwarder);

  /// @brief Forwards an operation or writes it locally.
  void Route(std::uint32_t shard, ShardOp op);

  /// @brief Writes an operation on this host even if another is preferred.
  void WriteLocally(std::uint32_t shard, ShardOp op);

  /// @brief The number of shards.
  std::uint32_t Shards() const {
    return static_cast<std::uint32_t>(this->logs.size());
  }

 private:
  struct ForwardAttempt;

  static bool IsFinal(const absl::StatusOr<ForwardedAnswer>& answer);
  void OnAnswer(const std::shared_ptr<ForwardAttempt>& attempt,
                const absl::StatusOr<ForwardedAnswer>& answer);
  void CompleteClaim(const std::shared_ptr<ForwardAttempt>& attempt,
                     const absl::StatusOr<ClaimAnswer>& answer);
  void FallBackToLocalWrite(const std::shared_ptr<ForwardAttempt>& attempt);

  ClaimDependencies dependencies;
  ClaimForwarder* forwarder;
  std::vector<std::shared_ptr<ShardLog>> logs;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_CLAIM_ROUTER_H_
