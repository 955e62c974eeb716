// The methods of ShardLog that read and write the object API.

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "claims/shard_log.h"

namespace meadowthread {
namespace {

constexpr char kClaims[] = "claims";
constexpr char kResults[] = "results";

// Size allowed for a segment's JSON without its entries.
constexpr std::size_t kSegmentFrameBytes = 120;

// A roll replaces the sealed head by a new segment and drops expired ones. It
// may drop more than the one segment that it adds, so that a backlog of expired
// segments shrinks.
constexpr std::size_t kMaxExpiredSegmentsPerRoll = 4;

std::size_t EncodedSize(const ClaimSegment& segment) {
  std::size_t bytes = kSegmentFrameBytes;
  for (const ClaimEntry& entry : segment.entries) {
    bytes += entry.encoded.size() + 1;
  }
  return bytes;
}

}  // namespace

void ShardLog::ReadHead() {
  this->busy = true;
  const std::uint64_t call = ++this->store_calls;
  const std::weak_ptr<ShardLog> weak = this->weak_from_this();
  this->dependencies.store->Get(
      kClaims, this->HeadName(),
      [weak, call](const absl::StatusOr<StoredObject>& answer) {
        if (const std::shared_ptr<ShardLog> self = weak.lock()) {
          self->busy = false;
          self->OnHeadRead(answer, call);
          self->RunCallbacks();
        }
      });
}

void ShardLog::OnHeadRead(const absl::StatusOr<StoredObject>& answer,
                          std::uint64_t call) {
  const ErrorId id =
      answer.ok() ? ErrorId::kInternal : DetailOf(answer.status()).id;
  const bool absent = id == ErrorId::kNotFound && this->view.Version() == 0;
  if (!answer.ok() && !absent) {
    // A head is never deleted once it exists. If it is missing, the state of
    // its keys is unknown, and starting a new log would free the held ones.
    this->OnStoreFailure(id == ErrorId::kNotFound ? ErrorId::kStoreMalformed
                                                  : ErrorId::kStoreUnavailable);
    return;
  }
  absl::StatusOr<ClaimSegment> head = ClaimSegment{};
  if (answer.ok()) {
    head = DecodeSegment(answer->value, this->HeadName());
  }
  if (!head.ok()) {
    this->OnStoreFailure(ErrorId::kStoreMalformed);
    return;
  }
  const std::int64_t version = answer.ok() ? answer->version : 0;
  const ShardView::HeadUpdate update = this->view.ApplyHead(*head, version);
  if (update == ShardView::HeadUpdate::kStale) {
    this->ScheduleNextStep(this->dependencies.settings.retry_ms);
    return;
  }
  this->store_failing = false;
  this->backoff_ms = 0;
  this->must_read_head = false;
  this->view_confirmed_call = call;
  const bool unresolved =
      std::ranges::any_of(this->queued_ops, [version](const OpPtr& op) {
        return op->unresolved_version.has_value() &&
               *op->unresolved_version >= version;
      });
  if (unresolved) {
    // The unresolved write may still be applied to this version. Waits for it,
    // and then writes with the same version as condition: only one of the two
    // writes can succeed.
    this->ScheduleNextStep(this->dependencies.settings.retry_ms);
    return;
  }
  this->RunNextStep();
}

void ShardLog::ReadArchive(std::int64_t number) {
  this->busy = true;
  ++this->store_calls;
  const std::weak_ptr<ShardLog> weak = this->weak_from_this();
  this->dependencies.store->Get(
      kClaims, this->ArchiveName(number),
      [weak, number](const absl::StatusOr<StoredObject>& answer) {
        if (const std::shared_ptr<ShardLog> self = weak.lock()) {
          self->busy = false;
          self->OnArchiveRead(answer, number);
          self->RunCallbacks();
        }
      });
}

void ShardLog::OnArchiveRead(const absl::StatusOr<StoredObject>& answer,
                             std::int64_t number) {
  if (!answer.ok()) {
    // A missing segment was dropped after the head was read. The head is read
    // again, as a newer one no longer lists the segment.
    this->must_read_head = true;
    this->OnStoreFailure(ErrorId::kStoreUnavailable);
    return;
  }
  const absl::StatusOr<ClaimSegment> segment =
      DecodeSegment(answer->value, this->ArchiveName(number));
  if (!segment.ok() || segment->number != number) {
    this->OnStoreFailure(ErrorId::kStoreMalformed);
    return;
  }
  this->view.AddArchivedSegment(*segment);
  this->RunNextStep();
}

ClaimEntry ShardLog::BuildEntry(const ShardOp& op, std::int64_t last_ms) const {
  ClaimEntry entry = op.entry;
  if (op.withdrawn) {
    entry.kind = EntryKind::kRelease;
  }
  // Timestamps never decrease along the log, even if the hosts' clocks differ,
  // and the timestamp of a claim is never below the start of its key's search
  // range.
  entry.unix_ms =
      std::max({this->dependencies.clock->WallMs(), last_ms,
                op.search_range.forgettable ? 0 : op.search_range.earliest_ms});
  entry.host = this->dependencies.settings.host;
  entry.encoded = EncodeEntry(entry);
  return entry;
}

ClaimSegment ShardLog::BuildNextHead(const std::vector<OpPtr>& batch) const {
  ClaimSegment next = this->view.Head();
  if (next.sealed) {
    next.prior_ms = next.LastTimestampMs();
    next.sealed = false;
    next.entries.clear();
    ++next.number;
    for (const ClaimSegment& dropped : this->expired_segments) {
      next.oldest = dropped.number + 1;
      next.dropped_ms = dropped.LastTimestampMs();
    }
  }
  std::size_t bytes = EncodedSize(next);
  for (const OpPtr& op : batch) {
    // An update has at least one entry, even if that exceeds the segment size.
    const bool full = bytes >= this->dependencies.settings.segment_bytes;
    if (full && !next.entries.empty()) {
      break;
    }
    next.entries.push_back(this->BuildEntry(*op, next.LastTimestampMs()));
    bytes += next.entries.back().encoded.size() + 1;
    op->in_flight = true;
  }
  next.sealed = bytes >= this->dependencies.settings.segment_bytes;
  return next;
}

void ShardLog::WriteHead(const std::vector<OpPtr>& batch) {
  this->busy = true;
  const std::uint64_t call = ++this->store_calls;
  this->last_write_ms = this->dependencies.clock->MonotonicMs();
  const auto next =
      std::make_shared<const ClaimSegment>(this->BuildNextHead(batch));
  const std::weak_ptr<ShardLog> weak = this->weak_from_this();
  this->dependencies.store->Put(
      kClaims, this->HeadName(), EncodeSegment(*next), this->view.Version(),
      [weak, batch, next, call](const absl::StatusOr<std::int64_t>& answer) {
        if (const std::shared_ptr<ShardLog> self = weak.lock()) {
          self->busy = false;
          self->OnHeadWritten(answer, batch, *next, call);
          self->RunCallbacks();
        }
      });
}

void ShardLog::OnHeadWritten(const absl::StatusOr<std::int64_t>& answer,
                             const std::vector<OpPtr>& batch,
                             const ClaimSegment& segment, std::uint64_t call) {
  const ErrorId id =
      answer.ok() ? ErrorId::kInternal : DetailOf(answer.status()).id;
  // A conflict does not show that the write failed: if a client or proxy sent
  // it twice, it conflicts with its own first copy. Only a read resolves it.
  const bool unresolved =
      id == ErrorId::kStoreUnknown || id == ErrorId::kStoreConflict;
  for (const OpPtr& op : batch) {
    if (op->in_flight && unresolved) {
      op->unresolved_version = this->view.Version();
    }
    op->in_flight = false;
  }
  if (answer.ok()) {
    this->store_failing = false;
    this->view_confirmed_call = call;
    this->view.ApplyHead(segment, *answer);
    this->DeleteExpiredSegments();
    if (this->view.Index().Size() >
        this->dependencies.settings.max_index_entries) {
      this->view.EvictOlderHalf();
    }
    this->RunNextStep();
    return;
  }
  this->must_read_head = true;
  if (id == ErrorId::kStoreUnavailable) {
    this->OnStoreFailure(id);
    return;
  }
  this->ReadHead();
}

// A sealed head never changes, so every host archives the same content, and a
// conflict means that another write has already created the archive.
void ShardLog::WriteArchive() {
  this->busy = true;
  ++this->store_calls;
  const std::int64_t number = this->view.Head().number;
  const std::weak_ptr<ShardLog> weak = this->weak_from_this();
  this->dependencies.store->Put(
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
          self->archived_segment = number;
          self->RunNextStep();
        } else if (id == ErrorId::kStoreUnknown) {
          // Repeating the write shows whether the archive exists.
          self->ScheduleNextStep(self->dependencies.settings.retry_ms);
        } else {
          self->OnStoreFailure(ErrorId::kStoreUnavailable);
        }
        self->RunCallbacks();
      });
}

// Runs before a roll: reads the oldest segments one by one and collects those
// whose last entry is older than the retention period.
void ShardLog::ReadOldestSegment() {
  const ClaimSegment& head = this->view.Head();
  if (this->expired_segments.empty() ||
      this->expired_segments.back().number < head.oldest) {
    this->expired_segments.clear();
  }
  const std::int64_t next = this->expired_segments.empty()
                                ? head.oldest
                                : this->expired_segments.back().number + 1;
  if (next >= head.number ||
      this->expired_segments.size() >= kMaxExpiredSegmentsPerRoll) {
    this->expiry_checked_segment = head.number;
    this->RunNextStep();
    return;
  }
  this->busy = true;
  ++this->store_calls;
  const std::int64_t head_number = head.number;
  const std::weak_ptr<ShardLog> weak = this->weak_from_this();
  this->dependencies.store->Get(
      kClaims, this->ArchiveName(next),
      [weak, head_number](const absl::StatusOr<StoredObject>& answer) {
        const std::shared_ptr<ShardLog> self = weak.lock();
        if (!self) {
          return;
        }
        self->busy = false;
        const absl::StatusOr<ClaimSegment> segment =
            answer.ok() ? DecodeSegment(answer->value, answer->name)
                        : absl::StatusOr<ClaimSegment>(answer.status());
        const std::int64_t oldest_kept_ms =
            self->dependencies.clock->WallMs() -
            self->dependencies.settings.retention_ms;
        if (segment.ok() && segment->LastTimestampMs() < oldest_kept_ms) {
          self->expired_segments.push_back(*segment);
        } else {
          self->expiry_checked_segment = head_number;
        }
        self->RunNextStep();
        self->RunCallbacks();
      });
}

// Deletes segments and large results that the head no longer lists. Nothing
// reads these objects any more. One that is left behind because a store call
// failed only takes up space.
void ShardLog::DeleteExpiredSegments() {
  const std::vector<ClaimSegment> dropped =
      std::exchange(this->expired_segments, {});
  for (const ClaimSegment& segment : dropped) {
    if (segment.number >= this->view.Head().oldest) {
      continue;
    }
    std::vector<StoredObject> objects(1);
    objects[0].kind = kClaims;
    objects[0].name = this->ArchiveName(segment.number);
    for (const ClaimEntry& entry : segment.entries) {
      if (entry.result_stored_separately) {
        objects.push_back({kResults, EncodeNonce(entry.nonce), 0, "", false});
      }
    }
    ObjectStore* const store = this->dependencies.store;
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

void ShardLog::OnStoreFailure(ErrorId id) {
  this->store_failing = true;
  this->must_read_head = true;
  this->RejectQueuedClaims(id);
  // Exponential backoff, so as not to overload an object API that is failing.
  const ClaimSettings& settings = this->dependencies.settings;
  this->backoff_ms = std::clamp(2 * this->backoff_ms, settings.retry_ms,
                                settings.max_retry_ms);
  if (!this->queued_ops.empty()) {
    this->ScheduleNextStep(this->backoff_ms);
  }
}

// Answers a retry with the recorded result: from the head or an archived
// segment, and for a large result from its own object. If one of them cannot be
// read, the answer is kClaimHeld.
void ShardLog::ReplayResult(const OpPtr& op) {
  const KeyState state = this->view.Index().Find(op->entry.key_hash);
  const std::string peer = this->HeadName();
  const std::int64_t retry_after_ms =
      this->dependencies.settings.outage_retry_after_ms;
  ObjectStore* const store = this->dependencies.store;
  const ClaimService::ClaimDone done = std::exchange(op->claim_done, nullptr);
  const ClaimNonce nonce = state.nonce;
  const auto fail = [done, peer, retry_after_ms] {
    done(ClaimError(ErrorId::kClaimHeld, peer, retry_after_ms));
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
    if (!entry->result_stored_separately) {
      done(ClaimAnswer(entry->result));
      return;
    }
    store->Get(kResults, EncodeNonce(nonce),
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
    this->pending_callbacks.push_back(
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
