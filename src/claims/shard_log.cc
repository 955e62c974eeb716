#include "claims/shard_log.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "store/store_errors.h"

namespace meadowthread {

ShardLog::ShardLog(const ClaimDependencies& dependencies, std::uint32_t shard)
    : dependencies(dependencies), shard(shard) {}

std::string ShardLog::HeadName() const {
  return std::to_string(this->shard) + ".head";
}

std::string ShardLog::ArchiveName(std::int64_t number) const {
  return std::to_string(this->shard) + "." + std::to_string(number);
}

/////////////////////
// the queue       //
/////////////////////

void ShardLog::Enqueue(ShardOp op) {
  const OpPtr queued = std::make_shared<ShardOp>(std::move(op));
  queued->arrival_call = this->store_calls;
  if (this->RejectImmediately(queued)) {
    return;
  }
  this->queued_ops.push_back(queued);
  const std::int64_t now_ms = this->dependencies.clock->WallMs();
  const std::weak_ptr<ShardLog> weak = this->weak_from_this();
  const std::weak_ptr<ShardOp> weak_op = queued;
  this->dependencies.scheduler->After(
      std::max<std::int64_t>(queued->limit_ms - now_ms, 0), [weak, weak_op] {
        const std::shared_ptr<ShardLog> self = weak.lock();
        const OpPtr timed_out = weak_op.lock();
        if (self && timed_out) {
          self->OnTimeout(timed_out);
        }
      });
  if (!this->busy) {
    this->ScheduleNextStep(this->dependencies.settings.batch_window_ms);
  }
}

// Rejects a new claim immediately if the queue is full, or if the object API is
// failing while an earlier operation is being retried; that retry shows when
// the object API has recovered.
bool ShardLog::RejectImmediately(const OpPtr& op) {
  if (op->entry.kind != EntryKind::kClaim || op->withdrawn) {
    return false;
  }
  const bool full =
      this->queued_ops.size() >= this->dependencies.settings.max_waiting;
  const bool retrying = this->busy || this->step_scheduled;
  if (!full && !(this->store_failing && retrying)) {
    return false;
  }
  const ErrorId id = full ? ErrorId::kOverloaded : ErrorId::kStoreUnavailable;
  const std::weak_ptr<ShardLog> weak = this->weak_from_this();
  this->dependencies.scheduler->After(0, [weak, op, id] {
    if (const std::shared_ptr<ShardLog> self = weak.lock()) {
      if (op->forwarded) {
        self->queued_ops.push_back(op);
      }
      self->RejectWithoutRead(op, id);
      self->RunCallbacks();
    }
  });
  return true;
}

void ShardLog::OnTimeout(const OpPtr& op) {
  const bool is_queued =
      std::ranges::find(this->queued_ops, op) != this->queued_ops.end();
  if (is_queued && !op->withdrawn) {
    this->GiveUp(op);
    this->RunCallbacks();
  }
}

// Answers the caller now. A claim that was or may still be written stays in the
// queue until it is released.
void ShardLog::GiveUp(const OpPtr& op) {
  if (op->entry.kind != EntryKind::kClaim) {
    this->AnswerWrite(
        op, StoreError(ErrorId::kStoreUnknown, "record", this->HeadName()));
    this->queued_ops.remove(op);
    return;
  }
  if (!op->MayBeWritten()) {
    this->Reject(op, this->dependencies.clock->WallMs() >= op->deadline_ms
                         ? ErrorId::kDeadlinePassed
                         : ErrorId::kStoreUnavailable);
    return;
  }
  this->AnswerClaim(
      op, ClaimError(ErrorId::kClaimUnsettled, this->HeadName(),
                     this->dependencies.settings.outage_retry_after_ms));
  this->Withdraw(op);
}

void ShardLog::Withdraw(const OpPtr& op) {
  if (op->from_other_host) {
    this->queued_ops.remove(op);
    return;
  }
  op->withdrawn = true;
  this->ScheduleNextStep(this->dependencies.settings.batch_window_ms);
}

void ShardLog::ApplyDecision(const OpPtr& op, OpDecision decision) {
  switch (decision) {
    case OpDecision::kGranted:
      this->Grant(op);
      return;
    case OpDecision::kHeld:
      this->Reject(op, ErrorId::kClaimHeld);
      return;
    case OpDecision::kReused:
      this->Reject(op, ErrorId::kIdempotencyKeyReused);
      return;
    case OpDecision::kExpired:
      this->Reject(op, ErrorId::kIdempotencyKeyExpired);
      return;
    case OpDecision::kAlreadyReleased:
      this->Reject(op, ErrorId::kClaimUnsettled);
      return;
    case OpDecision::kReplay:
      this->ReplayResult(op);
      break;
    case OpDecision::kResolved:
      this->AnswerWrite(op, absl::OkStatus());
      break;
    case OpDecision::kAppend:
    case OpDecision::kRelease:
    case OpDecision::kFence:
    case OpDecision::kRefresh:
      return;
  }
  this->queued_ops.remove(op);
}

void ShardLog::Grant(const OpPtr& op) {
  if (!op->from_other_host &&
      this->dependencies.clock->WallMs() >= op->deadline_ms) {
    // This host was paused until after the deadline. The request was not sent
    // and never will be, so the claim is released.
    this->AnswerClaim(
        op, ClaimError(ErrorId::kDeadlinePassed, this->HeadName(), 0));
    this->Withdraw(op);
    return;
  }
  ClaimGrant grant;
  grant.nonce = op->entry.nonce;
  grant.key_hash = op->entry.key_hash;
  grant.body_digest = op->entry.body_digest;
  grant.shard = this->shard;
  grant.deadline_unix_ms = op->deadline_ms;
  this->AnswerClaim(op, ClaimAnswer(grant));
  this->queued_ops.remove(op);
}

void ShardLog::Reject(const OpPtr& op, ErrorId id) {
  const bool retryable = id != ErrorId::kIdempotencyKeyReused &&
                         id != ErrorId::kIdempotencyKeyExpired;
  this->AnswerClaim(
      op,
      ClaimError(
          id, this->HeadName(),
          retryable ? this->dependencies.settings.outage_retry_after_ms : -1));
  if (op->forwarded) {
    // The preferred host may still write the forwarded copy.
    this->Withdraw(op);
    return;
  }
  this->queued_ops.remove(op);
}

// Called when the object API fails. Rejects the claims that this host has
// certainly not written.
void ShardLog::RejectQueuedClaims(ErrorId id) {
  const std::list<OpPtr> waiting = this->queued_ops;
  for (const OpPtr& op : waiting) {
    const bool is_claim = op->entry.kind == EntryKind::kClaim;
    const bool not_written =
        !op->in_flight && !op->unresolved_version.has_value();
    if (is_claim && !op->withdrawn && not_written) {
      this->RejectWithoutRead(op, id);
    }
  }
}

// Answers a claim from the last known view, without reading the log. A recorded
// result is final, so it is replayed. A claim on a held key is rejected with
// kClaimHeld, as the holder's request may have run. Other claims are rejected
// with `id`.
void ShardLog::RejectWithoutRead(const OpPtr& op, ErrorId id) {
  const KeyState state = this->view.Index().Find(op->entry.key_hash);
  const bool same_body = state.body_digest == op->entry.body_digest;
  if (state.status == KeyStatus::kDone && same_body) {
    this->ReplayResult(op);
    this->queued_ops.remove(op);
    return;
  }
  // An entry with this claim's own nonce is a copy of this claim, not another
  // holder's. That copy is resolved separately (see Withdraw).
  const bool held =
      state.status != KeyStatus::kFree && state.nonce != op->entry.nonce;
  this->Reject(op, held ? ErrorId::kClaimHeld : id);
}

void ShardLog::AnswerClaim(const OpPtr& op,
                           const absl::StatusOr<ClaimAnswer>& answer) {
  if (op->claim_done) {
    this->pending_callbacks.push_back(
        [done = std::exchange(op->claim_done, nullptr), answer] {
          done(answer);
        });
  }
}

void ShardLog::AnswerWrite(const OpPtr& op, const absl::Status& status) {
  if (op->done) {
    this->pending_callbacks.push_back(
        [done = std::exchange(op->done, nullptr), status] { done(status); });
  }
}

void ShardLog::RunCallbacks() {
  // The list is taken out first: a callback may submit the next request, which
  // can add to the list.
  const std::vector<std::function<void()>> ready =
      std::exchange(this->pending_callbacks, {});
  for (const std::function<void()>& answer : ready) {
    answer();
  }
}

/////////////////////
// scheduling      //
/////////////////////

void ShardLog::ScheduleNextStep(std::int64_t delay_ms) {
  if (this->step_scheduled) {
    return;
  }
  this->step_scheduled = true;
  const std::weak_ptr<ShardLog> weak = this->weak_from_this();
  this->dependencies.scheduler->After(delay_ms, [weak] {
    if (const std::shared_ptr<ShardLog> self = weak.lock()) {
      self->step_scheduled = false;
      self->RunNextStep();
      self->RunCallbacks();
    }
  });
}

bool ShardLog::IsFresh(const ShardOp& op) const {
  return this->view_confirmed_call > op.arrival_call;
}

// Starts the next store call that the queued operations need, unless one is in
// flight.
void ShardLog::RunNextStep() {
  if (this->busy || this->queued_ops.empty()) {
    return;
  }
  if (this->must_read_head) {
    this->ReadHead();
    return;
  }
  if (this->ReadMissingSegment()) {
    return;
  }
  std::vector<OpPtr> batch;
  bool must_fence = false;
  if (this->DecideAll(&batch, &must_fence)) {
    this->ReadHead();
    return;
  }
  if (batch.empty() && !must_fence) {
    return;
  }
  const ClaimSegment& head = this->view.Head();
  if (head.sealed && this->archived_segment != head.number) {
    this->WriteArchive();
  } else if (head.sealed && this->expiry_checked_segment != head.number) {
    this->ReadOldestSegment();
  } else if (const std::int64_t delay_ms = this->WriteDelayMs(); delay_ms > 0) {
    // Waiting lets more operations share an update. With one update per shard
    // and interval, the write rate is limited at any load.
    this->ScheduleNextStep(delay_ms);
  } else {
    this->WriteHead(batch);
  }
}

std::int64_t ShardLog::WriteDelayMs() const {
  return this->last_write_ms + this->dependencies.settings.write_interval_ms -
         this->dependencies.clock->MonotonicMs();
}

bool ShardLog::ReadMissingSegment() {
  for (const OpPtr& op : this->queued_ops) {
    if (op->entry.kind != EntryKind::kClaim) {
      continue;
    }
    const std::optional<std::int64_t> missing =
        this->view.NextSegmentToRead(op->search_range);
    if (missing.has_value()) {
      this->ReadArchive(*missing);
      return true;
    }
  }
  return false;
}

// Answers the operations that the view decides and collects in `batch` those
// that need an entry. Returns whether the head has to be read again first.
bool ShardLog::DecideAll(std::vector<OpPtr>* batch, bool* must_fence) {
  bool must_reread_head = false;
  std::unordered_set<Hash256, detail::Sha256Hasher> batched_keys;
  const std::list<OpPtr> waiting = this->queued_ops;
  for (const OpPtr& op : waiting) {
    if (op->unresolved_version.has_value() &&
        *op->unresolved_version < this->view.Version()) {
      op->unresolved_version.reset();
    }
    // At most one operation per key goes into an update: a second one has to be
    // decided on a view that includes the first one's entry.
    if (batched_keys.contains(op->entry.key_hash)) {
      continue;
    }
    const OpDecision decision = DecideOp(*op, this->view, this->IsFresh(*op));
    must_reread_head = must_reread_head || decision == OpDecision::kRefresh;
    *must_fence = *must_fence || decision == OpDecision::kFence;
    if (decision == OpDecision::kAppend || decision == OpDecision::kRelease) {
      batch->push_back(op);
      batched_keys.insert(op->entry.key_hash);
    } else {
      this->ApplyDecision(op, decision);
    }
  }
  return must_reread_head;
}

}  // namespace meadowthread
