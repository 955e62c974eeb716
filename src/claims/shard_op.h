#ifndef MEADOWTHREAD_CLAIMS_SHARD_OP_H_
#define MEADOWTHREAD_CLAIMS_SHARD_OP_H_

#include <cstdint>
#include <optional>

#include "claims/claim_entry.h"
#include "claims/claim_service.h"
#include "claims/shard_view.h"

namespace meadowthread {

/// @brief One thing that waits to be appended to a shard's log.
struct ShardOp {
  ClaimEntry entry;
  KeySpan span;
  std::int64_t limit_ms = 0;     ///< wall time at which its asker gives up
  std::int64_t deadline_ms = 0;  ///< of the request, for a claim
  std::uint64_t arrived = 0;     ///< the count of store calls at its arrival
  /// The version that an undecided write carrying this was conditioned on.
  std::optional<std::int64_t> undecided_at;
  bool in_flight = false;
  bool forwarded = false;  ///< another host may write it too
  /// Of another host, which alone knows whether it was sent: it is never given
  /// back from here.
  bool foreign = false;
  /// A claim whose asker was answered: it is never sent, and given back where
  /// it landed or may land.
  bool withdrawn = false;
  ClaimService::ClaimDone claim_done;
  ClaimService::Done done;

  /// @brief Whether it may stand in the log, or come to.
  bool MayLand() const {
    return this->in_flight || this->forwarded || this->undecided_at.has_value();
  }
};

/// @brief What is to be done with an operation on the view as it is.
enum class Verdict {
  kAppend,   ///< put its entry into the next update
  kRelease,  ///< put a release of it into the next update
  kFence,    ///< write anything, so that the undecided write cannot land
  kRefresh,  ///< read the head first: the view is older than the operation
  kGranted,
  kHeld,
  kReused,
  kReplay,
  kExpired,
  kGivenBack,  ///< its own release stands before it
  kSettled,    ///< it stands, or nothing of it can: forget it
};

/// @brief Judges one operation.
/// @param[in] view covers the operation's span
/// @param[in] is_fresh whether the view was read after the operation arrived
Verdict Judge(const ShardOp& op, const ShardView& view, bool is_fresh);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_SHARD_OP_H_
