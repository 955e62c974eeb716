#ifndef MEADOWTHREAD_CLAIMS_SHARD_VIEW_H_
#define MEADOWTHREAD_CLAIMS_SHARD_VIEW_H_

#include <cstdint>
#include <optional>

#include "claims/claim_entry.h"
#include "claims/claim_index.h"

namespace meadowthread {

/// @brief The part of a log that may contain claims of a key.
struct KeySearchRange {
  /// No claim of the key has a timestamp below this; unused for opaque keys.
  std::int64_t earliest_ms = 0;
  /// True for opaque keys: their claims may be dropped after the retention
  /// period.
  bool forgettable = false;
};

/// @brief A host's copy of one shard's log: the head at one version, and an
/// index of the segments read so far. It does no I/O.
///
/// The copy may be stale. A decision based on it is valid only if the
/// conditional update on exactly `Version()` succeeds.
class ShardView {
 public:
  /// @brief How a head relates to the one in the view.
  enum class HeadUpdate { kNewer, kSame, kStale };

  /// @brief Replaces the head by one that was read or written, unless it is
  /// older.
  HeadUpdate ApplyHead(const ClaimSegment& head, std::int64_t version);

  /// @brief Indexes the archived segment that NextSegmentToRead returned.
  void AddArchivedSegment(const ClaimSegment& segment);

  /// @brief The archived segment to read next before a key in this range can be
  /// decided on; empty if none is missing.
  std::optional<std::int64_t> NextSegmentToRead(
      const KeySearchRange& search_range) const;

  /// @brief Whether a claim of the key may have been in a dropped segment.
  bool MayHaveBeenDropped(const KeySearchRange& search_range) const;

  /// @brief Evicts the older half of the indexed segments. Does nothing while
  /// there are segments to read in the gap (see gap_next).
  void EvictOlderHalf();

  /// @brief The version of the head; 0 if no head exists yet.
  std::int64_t Version() const { return this->version; }
  const ClaimSegment& Head() const { return this->head; }
  const ClaimIndex& Index() const { return this->index; }

 private:
  void ResetTo(const ClaimSegment& new_head);

  ClaimSegment head;
  ClaimIndex index;
  std::int64_t version = 0;
  bool has_head = false;
  /// Segments first_indexed..head are in the index, except those in the gap.
  std::int64_t first_indexed = 0;
  std::int64_t first_indexed_prior_ms = -1;
  /// The gap: segments gap_next..gap_end-1, in which other hosts have added
  /// entries since this host last read the head, have still to be read. The
  /// first gap_known_entries entries of gap_next are already indexed.
  std::int64_t gap_next = 0;
  std::int64_t gap_end = 0;
  std::size_t gap_known_entries = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_SHARD_VIEW_H_
