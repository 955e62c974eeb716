#include "claims/shard_view.h"

namespace meadowthread {
namespace {

// After so many segments that others filled, starting anew from the head is
// cheaper than reading all of them.
constexpr std::int64_t kLongestGap = 16;

}  // namespace

ShardView::Taken ShardView::TakeHead(const ClaimSegment& new_head,
                                     std::int64_t new_version) {
  if (this->known && new_version == this->version) {
    return Taken::kSame;
  }
  // Versions only grow: an older one is a stale read.
  if (this->known && new_version < this->version) {
    return Taken::kStale;
  }
  const std::int64_t moved = new_head.number - this->head.number;
  const bool gap_open = this->gap_next < this->gap_end;
  if (!this->known || (moved > 0 && gap_open) || moved > kLongestGap) {
    this->StartFrom(new_head);
  } else if (moved == 0) {
    this->index.Add(new_head, this->head.entries.size());
  } else {
    this->gap_next = this->head.number;
    this->gap_skip = this->head.entries.size();
    if (this->head.sealed) {
      ++this->gap_next;
      this->gap_skip = 0;
    }
    this->gap_end = new_head.number;
    this->index.Add(new_head, 0);
  }
  this->head = new_head;
  this->version = new_version;
  this->known = true;
  return Taken::kNewer;
}

void ShardView::TakeArchive(const ClaimSegment& segment) {
  if (this->gap_next < this->gap_end) {
    this->index.Add(segment, this->gap_skip);
    ++this->gap_next;
    this->gap_skip = 0;
    return;
  }
  this->index.Add(segment, 0);
  this->low = segment.number;
  this->low_prior_ms = segment.prior_ms;
}

std::optional<std::int64_t> ShardView::MissingFor(const KeySpan& span) const {
  if (this->gap_next < this->gap_end) {
    return this->gap_next;
  }
  if (this->low <= this->head.oldest) {
    return std::nullopt;
  }
  // Stamps never go down along the log: with the last one before `low` below
  // the earliest the key can have, nothing before `low` is the key's.
  if (!span.forgettable && this->low_prior_ms < span.earliest_ms) {
    return std::nullopt;
  }
  return this->low - 1;
}

bool ShardView::MayBeDropped(const KeySpan& span) const {
  return !span.forgettable && this->head.dropped_ms >= span.earliest_ms;
}

void ShardView::Shrink() {
  if (this->gap_next < this->gap_end) {
    return;
  }
  const std::int64_t middle = (this->low + this->head.number + 1) / 2;
  if (middle >= this->head.number) {
    this->StartFrom(this->head);
    return;
  }
  this->index.EvictBelow(middle);
  // The stamp before `middle` is not kept; the head's own is never below it, so
  // that at worst one segment too many is read again.
  this->low = middle;
  this->low_prior_ms = this->head.prior_ms;
}

void ShardView::StartFrom(const ClaimSegment& new_head) {
  this->index.Clear();
  this->index.Add(new_head, 0);
  this->low = new_head.number;
  this->low_prior_ms = new_head.prior_ms;
  this->gap_next = 0;
  this->gap_end = 0;
  this->gap_skip = 0;
}

}  // namespace meadowthread
