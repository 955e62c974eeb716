#include "claims/shard_op.h"

namespace meadowthread {
namespace {

bool IsHolder(const ShardOp& op, const KeyState& state) {
  return state.standing == KeyStanding::kHeld && state.nonce == op.entry.nonce;
}

Verdict JudgeWithdrawn(const ShardOp& op, const ShardView& view) {
  if (IsHolder(op, view.Index().Find(op.entry.key_hash))) {
    return Verdict::kRelease;
  }
  // Another host may write it at any later time: a release that stands first
  // makes that claim void.
  const bool released =
      view.Index().Has(op.entry.key_hash, op.entry.nonce, EntryKind::kRelease);
  if (op.forwarded && !released) {
    return Verdict::kRelease;
  }
  // On the same version the delayed write can still land; any other write on
  // that version takes its place for good.
  return op.undecided_at.has_value() ? Verdict::kFence : Verdict::kSettled;
}

Verdict JudgeClaim(const ShardOp& op, const ShardView& view, bool is_fresh) {
  // A forwarded claim whose sender has given up in the meantime.
  if (view.Index().Has(op.entry.key_hash, op.entry.nonce,
                       EntryKind::kRelease)) {
    return Verdict::kGivenBack;
  }
  const KeyState state = view.Index().Find(op.entry.key_hash);
  if (IsHolder(op, state)) {
    return Verdict::kGranted;
  }
  const bool same_body = state.body_digest == op.entry.body_digest;
  if (state.standing == KeyStanding::kDone) {
    return same_body ? Verdict::kReplay : Verdict::kReused;
  }
  if (state.standing == KeyStanding::kHeld) {
    // It may have been released or finished since.
    if (!is_fresh) {
      return Verdict::kRefresh;
    }
    return same_body ? Verdict::kHeld : Verdict::kReused;
  }
  return view.MayBeDropped(op.span) ? Verdict::kExpired : Verdict::kAppend;
}

}  // namespace

Verdict Judge(const ShardOp& op, const ShardView& view, bool is_fresh) {
  if (op.withdrawn) {
    return JudgeWithdrawn(op, view);
  }
  if (op.entry.kind == EntryKind::kClaim) {
    return JudgeClaim(op, view, is_fresh);
  }
  const bool stands =
      view.Index().Has(op.entry.key_hash, op.entry.nonce, op.entry.kind);
  return stands ? Verdict::kSettled : Verdict::kAppend;
}

}  // namespace meadowthread
