#include "claims/shard_op.h"

namespace meadowthread {
namespace {

bool IsHolder(const ShardOp& op, const KeyState& state) {
  return state.status == KeyStatus::kHeld && state.nonce == op.entry.nonce;
}

OpDecision DecideWithdrawn(const ShardOp& op, const ShardView& view) {
  if (IsHolder(op, view.Index().Find(op.entry.key_hash))) {
    return OpDecision::kRelease;
  }
  // The preferred host may still write the claim. If a release precedes the
  // claim in the log, the claim does not take the key.
  const bool released =
      view.Index().Has(op.entry.key_hash, op.entry.nonce, EntryKind::kRelease);
  if (op.forwarded && !released) {
    return OpDecision::kRelease;
  }
  // The unresolved write can be applied as long as the head has the version
  // that it is conditioned on. Any other write that succeeds on that version
  // makes it fail.
  return op.unresolved_version.has_value() ? OpDecision::kFence
                                           : OpDecision::kResolved;
}

OpDecision DecideClaim(const ShardOp& op, const ShardView& view,
                       bool is_fresh) {
  // A release with the claim's nonce: the host that forwarded this claim has
  // given it up in the meantime.
  if (view.Index().Has(op.entry.key_hash, op.entry.nonce,
                       EntryKind::kRelease)) {
    return OpDecision::kAlreadyReleased;
  }
  const KeyState state = view.Index().Find(op.entry.key_hash);
  if (IsHolder(op, state)) {
    return OpDecision::kGranted;
  }
  const bool same_body = state.body_digest == op.entry.body_digest;
  if (state.status == KeyStatus::kDone) {
    return same_body ? OpDecision::kReplay : OpDecision::kReused;
  }
  if (state.status == KeyStatus::kHeld) {
    // The holder may have released or completed it since the head was read.
    if (!is_fresh) {
      return OpDecision::kRefresh;
    }
    return same_body ? OpDecision::kHeld : OpDecision::kReused;
  }
  return view.MayHaveBeenDropped(op.search_range) ? OpDecision::kExpired
                                                  : OpDecision::kAppend;
}

}  // namespace

OpDecision DecideOp(const ShardOp& op, const ShardView& view, bool is_fresh) {
  if (op.withdrawn) {
    return DecideWithdrawn(op, view);
  }
  if (op.entry.kind == EntryKind::kClaim) {
    return DecideClaim(op, view, is_fresh);
  }
  const bool is_recorded =
      view.Index().Has(op.entry.key_hash, op.entry.nonce, op.entry.kind);
  return is_recorded ? OpDecision::kResolved : OpDecision::kAppend;
}

}  // namespace meadowthread
