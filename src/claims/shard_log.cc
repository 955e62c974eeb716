#include "claims/shard_log.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "store/store_errors.h"

namespace meadowthread {

ShardLog::ShardLog(const ClaimTools& tools, std::uint32_t shard)
    : tools(tools), shard(shard) {}

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
  const Op queued = std::make_shared<ShardOp>(std::move(op));
  queued->arrived = this->calls;
  if (this->RefusesAtOnce(queued)) {
    return;
  }
  this->ops.push_back(queued);
  const std::int64_t now_ms = this->tools.clock->WallMs();
  const std::weak_ptr<ShardLog> weak = this->weak_from_this();
  const std::weak_ptr<ShardOp> weak_op = queued;
  this->tools.scheduler->After(
      std::max<std::int64_t>(queued->limit_ms - now_ms, 0), [weak, weak_op] {
        const std::shared_ptr<ShardLog> self = weak.lock();
        const Op late = weak_op.lock();
        if (self && late) {
          self->OnLimit(late);
        }
      });
  if (!this->busy) {
    this->PumpAfter(this->tools.settings.batch_window_ms);
  }
}

// In an outage, or beyond the bound, a claim is answered at once; what is
// already being retried finds out when the object API is back.
bool ShardLog::RefusesAtOnce(const Op& op) {
  if (op->entry.kind != EntryKind::kClaim || op->withdrawn) {
    return false;
  }
  const bool full = this->ops.size() >= this->tools.settings.max_waiting;
  const bool retrying = this->busy || this->pump_due;
  if (!full && !(this->impaired && retrying)) {
    return false;
  }
  const ErrorId id = full ? ErrorId::kOverloaded : ErrorId::kStoreUnavailable;
  const std::weak_ptr<ShardLog> weak = this->weak_from_this();
  this->tools.scheduler->After(0, [weak, op, id] {
    if (const std::shared_ptr<ShardLog> self = weak.lock()) {
      if (op->forwarded) {
        self->ops.push_back(op);
      }
      self->RefuseUnread(op, id);
      self->Flush();
    }
  });
  return true;
}

void ShardLog::OnLimit(const Op& op) {
  const bool waits = std::ranges::find(this->ops, op) != this->ops.end();
  if (waits && !op->withdrawn) {
    this->GiveUp(op);
    this->Flush();
  }
}

// The asker is answered now. A claim that may have landed, or may yet land,
// stays behind to be given back.
void ShardLog::GiveUp(const Op& op) {
  if (op->entry.kind != EntryKind::kClaim) {
    this->AnswerDone(
        op, StoreError(ErrorId::kStoreUnknown, "record", this->HeadName()));
    this->ops.remove(op);
    return;
  }
  if (!op->MayLand()) {
    this->Refuse(op, this->tools.clock->WallMs() >= op->deadline_ms
                         ? ErrorId::kDeadlinePassed
                         : ErrorId::kStoreUnavailable);
    return;
  }
  this->Answer(op, ClaimError(ErrorId::kClaimUnsettled, this->HeadName(),
                              this->tools.settings.outage_retry_after_ms));
  this->Withdraw(op);
}

void ShardLog::Withdraw(const Op& op) {
  if (op->foreign) {
    this->ops.remove(op);
    return;
  }
  op->withdrawn = true;
  this->PumpAfter(this->tools.settings.batch_window_ms);
}

void ShardLog::Finish(const Op& op, Verdict verdict) {
  switch (verdict) {
    case Verdict::kGranted:
      this->Grant(op);
      return;
    case Verdict::kHeld:
      this->Refuse(op, ErrorId::kClaimHeld);
      return;
    case Verdict::kReused:
      this->Refuse(op, ErrorId::kIdempotencyKeyReused);
      return;
    case Verdict::kExpired:
      this->Refuse(op, ErrorId::kIdempotencyKeyExpired);
      return;
    case Verdict::kGivenBack:
      this->Refuse(op, ErrorId::kClaimUnsettled);
      return;
    case Verdict::kReplay:
      this->Replay(op);
      break;
    case Verdict::kSettled:
      this->AnswerDone(op, absl::OkStatus());
      break;
    case Verdict::kAppend:
    case Verdict::kRelease:
    case Verdict::kFence:
    case Verdict::kRefresh:
      return;
  }
  this->ops.remove(op);
}

void ShardLog::Grant(const Op& op) {
  if (!op->foreign && this->tools.clock->WallMs() >= op->deadline_ms) {
    // Frozen meanwhile: nobody sent it and nobody will, so it is given back.
    this->Answer(op, ClaimError(ErrorId::kDeadlinePassed, this->HeadName(), 0));
    this->Withdraw(op);
    return;
  }
  ClaimGrant grant;
  grant.nonce = op->entry.nonce;
  grant.key_hash = op->entry.key_hash;
  grant.body_digest = op->entry.body_digest;
  grant.shard = this->shard;
  grant.deadline_unix_ms = op->deadline_ms;
  this->Answer(op, ClaimAnswer(grant));
  this->ops.remove(op);
}

void ShardLog::Refuse(const Op& op, ErrorId id) {
  const bool come_back = id != ErrorId::kIdempotencyKeyReused &&
                         id != ErrorId::kIdempotencyKeyExpired;
  this->Answer(
      op,
      ClaimError(id, this->HeadName(),
                 come_back ? this->tools.settings.outage_retry_after_ms : -1));
  if (op->forwarded) {
    // The copy that was sent on may still be written, by the other host.
    this->Withdraw(op);
    return;
  }
  this->ops.remove(op);
}

// The object API fails: claims that certainly did not land are refused at once.
void ShardLog::RefuseWaiting(ErrorId id) {
  const std::list<Op> waiting = this->ops;
  for (const Op& op : waiting) {
    const bool is_claim = op->entry.kind == EntryKind::kClaim;
    const bool decided = !op->in_flight && !op->undecided_at.has_value();
    if (is_claim && !op->withdrawn && decided) {
      this->RefuseUnread(op, id);
    }
  }
}

// What the log was last known to say of the key comes before the refusal: a
// result never changes, and a key that was held may have run.
void ShardLog::RefuseUnread(const Op& op, ErrorId id) {
  const KeyState state = this->view.Index().Find(op->entry.key_hash);
  const bool same_body = state.body_digest == op->entry.body_digest;
  if (state.standing == KeyStanding::kDone && same_body) {
    this->Replay(op);
    this->ops.remove(op);
    return;
  }
  // Its own nonce tells nothing against it: another copy of it is settled.
  const bool held =
      state.standing != KeyStanding::kFree && state.nonce != op->entry.nonce;
  this->Refuse(op, held ? ErrorId::kClaimHeld : id);
}

void ShardLog::Answer(const Op& op, const absl::StatusOr<ClaimAnswer>& answer) {
  if (op->claim_done) {
    this->answers.push_back([done = std::exchange(op->claim_done, nullptr),
                             answer] { done(answer); });
  }
}

void ShardLog::AnswerDone(const Op& op, const absl::Status& status) {
  if (op->done) {
    this->answers.push_back(
        [done = std::exchange(op->done, nullptr), status] { done(status); });
  }
}

void ShardLog::Flush() {
  // An asker may come back with the next request from within its answer.
  const std::vector<std::function<void()>> ready =
      std::exchange(this->answers, {});
  for (const std::function<void()>& answer : ready) {
    answer();
  }
}

/////////////////////
// the next step   //
/////////////////////

void ShardLog::PumpAfter(std::int64_t delay_ms) {
  if (this->pump_due) {
    return;
  }
  this->pump_due = true;
  const std::weak_ptr<ShardLog> weak = this->weak_from_this();
  this->tools.scheduler->After(delay_ms, [weak] {
    if (const std::shared_ptr<ShardLog> self = weak.lock()) {
      self->pump_due = false;
      self->Pump();
      self->Flush();
    }
  });
}

bool ShardLog::IsFresh(const ShardOp& op) const {
  return this->view_call > op.arrived;
}

void ShardLog::Pump() {
  if (this->busy || this->ops.empty()) {
    return;
  }
  if (this->must_read) {
    this->ReadHead();
    return;
  }
  if (this->ReadMissing()) {
    return;
  }
  std::vector<Op> batch;
  bool must_fence = false;
  if (this->JudgeAll(&batch, &must_fence)) {
    this->ReadHead();
    return;
  }
  if (batch.empty() && !must_fence) {
    return;
  }
  const ClaimSegment& head = this->view.Head();
  if (head.sealed && this->archived != head.number) {
    this->WriteArchive();
  } else if (head.sealed && this->swept != head.number) {
    this->ReadOldest();
  } else if (const std::int64_t pause_ms = this->PauseMs(); pause_ms > 0) {
    // Fewer and fuller updates: the rate of writes is bounded by the number of
    // shards, whatever the load.
    this->PumpAfter(pause_ms);
  } else {
    this->WriteHead(batch);
  }
}

std::int64_t ShardLog::PauseMs() const {
  return this->written_ms + this->tools.settings.write_interval_ms -
         this->tools.clock->MonotonicMs();
}

bool ShardLog::ReadMissing() {
  for (const Op& op : this->ops) {
    if (op->entry.kind != EntryKind::kClaim) {
      continue;
    }
    const std::optional<std::int64_t> missing = this->view.MissingFor(op->span);
    if (missing.has_value()) {
      this->ReadArchive(*missing);
      return true;
    }
  }
  return false;
}

// Answers what can be answered and gathers the rest.
// Returns whether the head has to be read again first.
bool ShardLog::JudgeAll(std::vector<Op>* batch, bool* must_fence) {
  bool must_refresh = false;
  std::unordered_set<Hash256, detail::FirstBytes> touched;
  const std::list<Op> waiting = this->ops;
  for (const Op& op : waiting) {
    if (op->undecided_at.has_value() &&
        *op->undecided_at < this->view.Version()) {
      op->undecided_at.reset();
    }
    // The second of one key waits: it would be judged on a view that the first
    // is about to change.
    if (touched.contains(op->entry.key_hash)) {
      continue;
    }
    const Verdict verdict = Judge(*op, this->view, this->IsFresh(*op));
    must_refresh = must_refresh || verdict == Verdict::kRefresh;
    *must_fence = *must_fence || verdict == Verdict::kFence;
    if (verdict == Verdict::kAppend || verdict == Verdict::kRelease) {
      batch->push_back(op);
      touched.insert(op->entry.key_hash);
    } else {
      this->Finish(op, verdict);
    }
  }
  return must_refresh;
}

}  // namespace meadowthread
