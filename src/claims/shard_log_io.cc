// The part of ShardLog that talks to the object API.

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "claims/shard_log.h"

namespace meadowthread {
namespace {

constexpr char kClaims[] = "claims";
constexpr char kResults[] = "results";

constexpr std::size_t kSegmentFrameBytes = 120;

// A roll drops more than the one segment that it adds, so that a backlog of old
// segments shrinks.
constexpr std::size_t kDropsPerRoll = 4;

std::size_t BytesOf(const ClaimSegment& segment) {
  std::size_t bytes = kSegmentFrameBytes;
  for (const ClaimEntry& entry : segment.entries) {
    bytes += entry.encoded.size() + 1;
  }
  return bytes;
}

}  // namespace

void ShardLog::ReadHead() {
  this->busy = true;
  const std::uint64_t call = ++this->calls;
  const std::weak_ptr<ShardLog> weak = this->weak_from_this();
  this->tools.store->Get(
      kClaims, this->HeadName(),
      [weak, call](const absl::StatusOr<StoredObject>& answer) {
        if (const std::shared_ptr<ShardLog> self = weak.lock()) {
          self->busy = false;
          self->OnHead(answer, call);
          self->Flush();
        }
      });
}

void ShardLog::OnHead(const absl::StatusOr<StoredObject>& answer,
                      std::uint64_t call) {
  const ErrorId id =
      answer.ok() ? ErrorId::kInternal : DetailOf(answer.status()).id;
  const bool absent = id == ErrorId::kNotFound && this->view.Version() == 0;
  if (!answer.ok() && !absent) {
    // A head that was there is never deleted: without it nothing can be judged.
    this->OnTrouble(id == ErrorId::kNotFound ? ErrorId::kStoreMalformed
                                             : ErrorId::kStoreUnavailable);
    return;
  }
  absl::StatusOr<ClaimSegment> head = ClaimSegment{};
  if (answer.ok()) {
    head = DecodeSegment(answer->value, this->HeadName());
  }
  if (!head.ok()) {
    this->OnTrouble(ErrorId::kStoreMalformed);
    return;
  }
  const std::int64_t version = answer.ok() ? answer->version : 0;
  const ShardView::Taken taken = this->view.TakeHead(*head, version);
  if (taken == ShardView::Taken::kStale) {
    this->PumpAfter(this->tools.settings.retry_ms);
    return;
  }
  this->impaired = false;
  this->trouble_wait_ms = 0;
  this->must_read = false;
  this->view_call = call;
  const bool undecided =
      std::ranges::any_of(this->ops, [version](const Op& op) {
        return op->undecided_at.has_value() && *op->undecided_at >= version;
      });
  if (undecided) {
    // The write may still land on this version: wait a little, then write
    // again on the same version, which settles it one way or the other.
    this->PumpAfter(this->tools.settings.retry_ms);
    return;
  }
  this->Pump();
}

void ShardLog::ReadArchive(std::int64_t number) {
  this->busy = true;
  ++this->calls;
  const std::weak_ptr<ShardLog> weak = this->weak_from_this();
  this->tools.store->Get(
      kClaims, this->ArchiveName(number),
      [weak, number](const absl::StatusOr<StoredObject>& answer) {
        if (const std::shared_ptr<ShardLog> self = weak.lock()) {
          self->busy = false;
          self->OnArchive(answer, number);
          self->Flush();
        }
      });
}

void ShardLog::OnArchive(const absl::StatusOr<StoredObject>& answer,
                         std::int64_t number) {
  if (!answer.ok()) {
    // Absent: dropped since the head was read, so that the head tells more.
    this->must_read = true;
    this->OnTrouble(ErrorId::kStoreUnavailable);
    return;
  }
  const absl::StatusOr<ClaimSegment> segment =
      DecodeSegment(answer->value, this->ArchiveName(number));
  if (!segment.ok() || segment->number != number) {
    this->OnTrouble(ErrorId::kStoreMalformed);
    return;
  }
  this->view.TakeArchive(*segment);
  this->Pump();
}

ClaimEntry ShardLog::NextEntry(const ShardOp& op, std::int64_t last_ms) const {
  ClaimEntry entry = op.entry;
  if (op.withdrawn) {
    entry.kind = EntryKind::kRelease;
  }
  // Stamps never go down along the log, whatever the hosts' clocks say, and a
  // claim's is never below what its key is looked for from.
  entry.unix_ms = std::max({this->tools.clock->WallMs(), last_ms,
                            op.span.forgettable ? 0 : op.span.earliest_ms});
  entry.host = this->tools.settings.host;
  entry.encoded = EncodeEntry(entry);
  return entry;
}

ClaimSegment ShardLog::NextHead(const std::vector<Op>& batch) const {
  ClaimSegment next = this->view.Head();
  if (next.sealed) {
    next.prior_ms = next.LastMs();
    next.sealed = false;
    next.entries.clear();
    ++next.number;
    for (const ClaimSegment& dropped : this->dropping) {
      next.oldest = dropped.number + 1;
      next.dropped_ms = dropped.LastMs();
    }
  }
  std::size_t bytes = BytesOf(next);
  for (const Op& op : batch) {
    if (bytes >= this->tools.settings.segment_bytes) {
      break;
    }
    next.entries.push_back(this->NextEntry(*op, next.LastMs()));
    bytes += next.entries.back().encoded.size() + 1;
    op->in_flight = true;
  }
  next.sealed = bytes >= this->tools.settings.segment_bytes;
  return next;
}

void ShardLog::WriteHead(const std::vector<Op>& batch) {
  this->busy = true;
  const std::uint64_t call = ++this->calls;
  this->written_ms = this->tools.clock->MonotonicMs();
  const auto next = std::make_shared<const ClaimSegment>(this->NextHead(batch));
  const std::weak_ptr<ShardLog> weak = this->weak_from_this();
  this->tools.store->Put(
      kClaims, this->HeadName(), EncodeSegment(*next), this->view.Version(),
      [weak, batch, next, call](const absl::StatusOr<std::int64_t>& answer) {
        if (const std::shared_ptr<ShardLog> self = weak.lock()) {
          self->busy = false;
          self->OnWritten(answer, batch, *next, call);
          self->Flush();
        }
      });
}

void ShardLog::OnWritten(const absl::StatusOr<std::int64_t>& answer,
                         const std::vector<Op>& batch,
                         const ClaimSegment& segment, std::uint64_t call) {
  const ErrorId id =
      answer.ok() ? ErrorId::kInternal : DetailOf(answer.status()).id;
  // A conflict too is settled only by reading: the write may have met its own
  // earlier copy, where something on the way sent it twice.
  const bool undecided =
      id == ErrorId::kStoreUnknown || id == ErrorId::kStoreConflict;
  for (const Op& op : batch) {
    if (op->in_flight && undecided) {
      op->undecided_at = this->view.Version();
    }
    op->in_flight = false;
  }
  if (answer.ok()) {
    this->impaired = false;
    this->view_call = call;
    this->view.TakeHead(segment, *answer);
    this->DropSegments();
    if (this->view.Index().Size() > this->tools.settings.max_index_entries) {
      this->view.Shrink();
    }
    this->Pump();
    return;
  }
  this->must_read = true;
  if (id == ErrorId::kStoreUnavailable) {
    this->OnTrouble(id);
    return;
  }
  this->ReadHead();
}

// A sealed head has one content for good: whoever archives it writes the same,
// and a conflict says that it stands.
void ShardLog::WriteArchive() {
  this->busy = true;
  ++this->calls;
  const std::int64_t number = this->view.Head().number;
  const std::weak_ptr<ShardLog> weak = this->weak_from_this();
  this->tools.store->Put(
      kClaims, this->ArchiveName(number), EncodeSegment(this->view.Head()), 0,
      [weak, number](const absl::StatusOr<std::int64_t>& answer) {
        const std::shared_ptr<ShardLog> self = weak.lock();
        if (!self) {
          return;
        }
        self->busy = false;
        const ErrorId id =
            answer.ok() ? ErrorId::kInternal : DetailOf(answer.status()).id;
        if (answer.ok() || id == ErrorId::kStoreConflict) {
          self->archived = number;
          self->Pump();
        } else if (id == ErrorId::kStoreUnknown) {
          // The same write again says whether it stands.
          self->PumpAfter(self->tools.settings.retry_ms);
        } else {
          self->OnTrouble(ErrorId::kStoreUnavailable);
        }
        self->Flush();
      });
}

// Before a roll: reads the oldest segments, to drop those of which everything
// is older than the retention.
void ShardLog::ReadOldest() {
  const ClaimSegment& head = this->view.Head();
  if (this->dropping.empty() || this->dropping.back().number < head.oldest) {
    this->dropping.clear();
  }
  const std::int64_t next =
      this->dropping.empty() ? head.oldest : this->dropping.back().number + 1;
  if (next >= head.number || this->dropping.size() >= kDropsPerRoll) {
    this->swept = head.number;
    this->Pump();
    return;
  }
  this->busy = true;
  ++this->calls;
  const std::int64_t swept_for = head.number;
  const std::weak_ptr<ShardLog> weak = this->weak_from_this();
  this->tools.store->Get(
      kClaims, this->ArchiveName(next),
      [weak, swept_for](const absl::StatusOr<StoredObject>& answer) {
        const std::shared_ptr<ShardLog> self = weak.lock();
        if (!self) {
          return;
        }
        self->busy = false;
        const absl::StatusOr<ClaimSegment> segment =
            answer.ok() ? DecodeSegment(answer->value, answer->name)
                        : absl::StatusOr<ClaimSegment>(answer.status());
        const std::int64_t kept_from_ms =
            self->tools.clock->WallMs() - self->tools.settings.retention_ms;
        if (segment.ok() && segment->LastMs() < kept_from_ms) {
          self->dropping.push_back(*segment);
        } else {
          self->swept = swept_for;
        }
        self->Pump();
        self->Flush();
      });
}

// The head no longer counts these segments, so that nobody reads them: what is
// left behind by a lost answer takes room and does no harm.
void ShardLog::DropSegments() {
  const std::vector<ClaimSegment> dropped = std::exchange(this->dropping, {});
  for (const ClaimSegment& segment : dropped) {
    if (segment.number >= this->view.Head().oldest) {
      continue;
    }
    std::vector<StoredObject> objects(1);
    objects[0].kind = kClaims;
    objects[0].name = this->ArchiveName(segment.number);
    for (const ClaimEntry& entry : segment.entries) {
      if (entry.result_apart) {
        objects.push_back({kResults, NonceText(entry.nonce), 0, "", false});
      }
    }
    ObjectStore* const store = this->tools.store;
    for (const StoredObject& object : objects) {
      store->Get(object.kind, object.name,
                 [store](const absl::StatusOr<StoredObject>& found) {
                   if (found.ok()) {
                     store->Delete(found->kind, found->name, found->version,
                                   [](const absl::StatusOr<std::int64_t>&) {});
                   }
                 });
    }
  }
}

void ShardLog::OnTrouble(ErrorId id) {
  this->impaired = true;
  this->must_read = true;
  this->RefuseWaiting(id);
  // Longer each time: an object API that is down is not to be kept busy.
  const ClaimSettings& settings = this->tools.settings;
  this->trouble_wait_ms = std::clamp(2 * this->trouble_wait_ms,
                                     settings.retry_ms, settings.max_retry_ms);
  if (!this->ops.empty()) {
    this->PumpAfter(this->trouble_wait_ms);
  }
}

// A retry after the result: from the head where it still stands there, else
// from its segment, and the body from its own object where it was large.
void ShardLog::Replay(const Op& op) {
  const KeyState state = this->view.Index().Find(op->entry.key_hash);
  const std::string peer = this->HeadName();
  const std::int64_t come_back = this->tools.settings.outage_retry_after_ms;
  ObjectStore* const store = this->tools.store;
  const ClaimService::ClaimDone done = std::exchange(op->claim_done, nullptr);
  const ClaimNonce nonce = state.nonce;
  const auto fail = [done, peer, come_back] {
    done(ClaimError(ErrorId::kClaimHeld, peer, come_back));
  };
  const auto deliver = [store, done, fail, nonce](const ClaimSegment& segment) {
    const auto entry =
        std::ranges::find_if(segment.entries, [nonce](const ClaimEntry& item) {
          return item.kind == EntryKind::kResult && item.nonce == nonce;
        });
    if (entry == segment.entries.end()) {
      fail();
      return;
    }
    if (!entry->result_apart) {
      done(ClaimAnswer(entry->result));
      return;
    }
    store->Get(kResults, NonceText(nonce),
               [done, fail](const absl::StatusOr<StoredObject>& answer) {
                 if (!answer.ok()) {
                   fail();
                   return;
                 }
                 const absl::StatusOr<ClaimResult> result =
                     DecodeResult(answer->value, answer->name);
                 if (!result.ok()) {
                   fail();
                   return;
                 }
                 done(ClaimAnswer(*result));
               });
  };
  if (state.segment == this->view.Head().number) {
    this->answers.push_back(
        [deliver, head = this->view.Head()] { deliver(head); });
    return;
  }
  store->Get(kClaims, this->ArchiveName(state.segment),
             [deliver, fail](const absl::StatusOr<StoredObject>& answer) {
               if (!answer.ok()) {
                 fail();
                 return;
               }
               const absl::StatusOr<ClaimSegment> segment =
                   DecodeSegment(answer->value, answer->name);
               if (!segment.ok()) {
                 fail();
                 return;
               }
               deliver(*segment);
             });
}

}  // namespace meadowthread
