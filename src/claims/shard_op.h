#ifndef MEADOWTHREAD_CLAIMS_SHARD_OP_H_
#define MEADOWTHREAD_CLAIMS_SHARD_OP_H_

#include <cstdint>
#include <optional>

#include "claims/claim_entry.h"
#include "claims/claim_service.h"
#include "claims/shard_view.h"

namespace meadowthread {

/// @brief A claim, release or result that waits to be appended to a shard's
/// log.
struct ShardOp {
  ClaimEntry entry;
  KeySearchRange search_range;
  std::int64_t limit_ms = 0;     ///< wall time at which it times out
  std::int64_t deadline_ms = 0;  ///< of the request, for a claim
  /// Number of store calls made before it was queued.
  std::uint64_t arrival_call = 0;
  /// Head version that a write with this entry was conditioned on, while it is
  /// unknown whether that write succeeded.
  std::optional<std::int64_t> unresolved_version;
  bool in_flight = false;  ///< its entry is in the head update in progress
  bool forwarded = false;  ///< the preferred host may write it too
  /// Forwarded by another host. Only that host knows whether the request was
  /// sent, so this host never releases the claim.
  bool from_other_host = false;
  /// A claim that was answered with an error. Its request is never sent, and it
  /// is released if it was or may still be written.
  bool withdrawn = false;
  ClaimService::ClaimDone claim_done;
  ClaimService::Done done;

  /// @brief Whether its entry may be in the log or may still get there.
  bool MayBeWritten() const {
    return this->in_flight || this->forwarded ||
           this->unresolved_version.has_value();
  }
};

/// @brief What to do with an operation, given the current view.
enum class OpDecision {
  kAppend,   ///< add its entry to the next update
  kRelease,  ///< add a release of the claim to the next update
  kFence,    ///< update the head, so that an unresolved write cannot be applied
  kRefresh,  ///< read the head first: the view is older than the operation
  kGranted,  ///< the log shows that this claim holds the key
  kHeld,     ///< another claim holds the key
  kReused,   ///< the key belongs to a request with another body
  kReplay,   ///< answer with the recorded result
  kExpired,  ///< a claim of the key may be in a dropped segment
  kAlreadyReleased,  ///< the log has a release of this claim
  kResolved,         ///< its entry is in the log, or can no longer get there
};

/// @brief Decides what to do with an operation.
/// @param[in] view covers the operation's search range
/// @param[in] is_fresh whether the view was read after the operation arrived
OpDecision DecideOp(const ShardOp& op, const ShardView& view, bool is_fresh);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_SHARD_OP_H_
