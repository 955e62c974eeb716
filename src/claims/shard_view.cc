#include "claims/shard_view.h"

namespace meadowthread {
namespace {

// If other hosts have filled more segments than this since the head was last
// read, dropping the index and starting from the new head is cheaper than
// reading all of these segments.
constexpr std::int64_t kMaxGapSegments = 16;

}  // namespace

ShardView::HeadUpdate ShardView::ApplyHead(const ClaimSegment& new_head,
                                           std::int64_t new_version) {
  if (this->has_head && new_version == this->version) {
    return HeadUpdate::kSame;
  }
  // Versions only increase, so an older one is a stale read.
  if (this->has_head && new_version < this->version) {
    return HeadUpdate::kStale;
  }
  const std::int64_t advanced_by = new_head.number - this->head.number;
  const bool gap_open = this->gap_next < this->gap_end;
  if (!this->has_head || (advanced_by > 0 && gap_open) ||
      advanced_by > kMaxGapSegments) {
    this->ResetTo(new_head);
  } else if (advanced_by == 0) {
    this->index.Add(new_head, this->head.entries.size());
  } else {
    this->gap_next = this->head.number;
    this->gap_known_entries = this->head.entries.size();
    if (this->head.sealed) {
      ++this->gap_next;
      this->gap_known_entries = 0;
    }
    this->gap_end = new_head.number;
    this->index.Add(new_head, 0);
  }
  this->head = new_head;
  this->version = new_version;
  this->has_head = true;
  return HeadUpdate::kNewer;
}

void ShardView::AddArchivedSegment(const ClaimSegment& segment) {
  if (this->gap_next < this->gap_end) {
    this->index.Add(segment, this->gap_known_entries);
    ++this->gap_next;
    this->gap_known_entries = 0;
    return;
  }
  this->index.Add(segment, 0);
  this->first_indexed = segment.number;
  this->first_indexed_prior_ms = segment.prior_ms;
}

std::optional<std::int64_t> ShardView::NextSegmentToRead(
    const KeySearchRange& search_range) const {
  if (this->gap_next < this->gap_end) {
    return this->gap_next;
  }
  if (this->first_indexed <= this->head.oldest) {
    return std::nullopt;
  }
  // Timestamps never decrease along the log. If the last timestamp before
  // `first_indexed` is below the key's range, so are all earlier ones.
  if (!search_range.forgettable &&
      this->first_indexed_prior_ms < search_range.earliest_ms) {
    return std::nullopt;
  }
  return this->first_indexed - 1;
}

bool ShardView::MayHaveBeenDropped(const KeySearchRange& search_range) const {
  return !search_range.forgettable &&
         this->head.dropped_ms >= search_range.earliest_ms;
}

void ShardView::EvictOlderHalf() {
  if (this->gap_next < this->gap_end) {
    return;
  }
  const std::int64_t middle = (this->first_indexed + this->head.number + 1) / 2;
  if (middle >= this->head.number) {
    this->ResetTo(this->head);
    return;
  }
  this->index.EvictBelow(middle);
  // The last timestamp before `middle` is not stored. The last timestamp before
  // the head is used instead. It is never smaller, so at worst segments are
  // read again that need not be.
  this->first_indexed = middle;
  this->first_indexed_prior_ms = this->head.prior_ms;
}

void ShardView::ResetTo(const ClaimSegment& new_head) {
  this->index.Clear();
  this->index.Add(new_head, 0);
  this->first_indexed = new_head.number;
  this->first_indexed_prior_ms = new_head.prior_ms;
  this->gap_next = 0;
  this->gap_end = 0;
  this->gap_known_entries = 0;
}

}  // namespace meadowthread
