#ifndef MEADOWTHREAD_CLAIMS_CLAIM_ROUTER_H_
#define MEADOWTHREAD_CLAIMS_CLAIM_ROUTER_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "claims/claim_forwarder.h"
#include "claims/shard_log.h"

namespace meadowthread {

/// @brief Brings each operation to its shard's log: by way of the preferred
/// host where there is another one, else, and where that fails, from here.
class ClaimRouter final : public std::enable_shared_from_this<ClaimRouter> {
 public:
  /// @param[in] forwarder null: every operation is written from here
  ClaimRouter(const ClaimTools& tools, ClaimForwarder* forwarder);

  void Route(std::uint32_t shard, ShardOp op);

  /// @brief Writes an operation from here, whoever is preferred.
  void Write(std::uint32_t shard, ShardOp op);

  std::uint32_t Shards() const {
    return static_cast<std::uint32_t>(this->logs.size());
  }

 private:
  struct Sent;

  static bool IsVerdict(const absl::StatusOr<ForwardedAnswer>& answer);
  void OnAnswer(const std::shared_ptr<Sent>& sent,
                const absl::StatusOr<ForwardedAnswer>& answer);
  void TakeClaim(const std::shared_ptr<Sent>& sent,
                 const absl::StatusOr<ClaimAnswer>& answer);
  void FallBack(const std::shared_ptr<Sent>& sent);

  ClaimTools tools;
  ClaimForwarder* forwarder;
  std::vector<std::shared_ptr<ShardLog>> logs;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_CLAIM_ROUTER_H_
