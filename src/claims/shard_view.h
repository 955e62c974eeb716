#ifndef MEADOWTHREAD_CLAIMS_SHARD_VIEW_H_
#define MEADOWTHREAD_CLAIMS_SHARD_VIEW_H_

#include <cstdint>
#include <optional>

#include "claims/claim_entry.h"
#include "claims/claim_index.h"

namespace meadowthread {

/// @brief Where a claim's key has to be looked for.
struct KeySpan {
  /// No claim of the key has a stamp below this; of no use for opaque keys.
  std::int64_t earliest_ms = 0;
  /// Claims may be forgotten after the retention (an opaque key).
  bool forgettable = false;
};

/// @brief What a host knows of one shard's log: the head as of one version and
/// the index of the segments read so far. Pure: it reads and writes nothing.
///
/// It may be stale. What is decided on it holds only if the conditional update
/// on exactly `Version()` succeeds.
class ShardView {
 public:
  enum class Taken { kNewer, kSame, kStale };

  /// @brief Takes over a head that was read or written.
  Taken TakeHead(const ClaimSegment& head, std::int64_t version);

  /// @brief Takes over the archived segment that MissingFor named.
  void TakeArchive(const ClaimSegment& segment);

  /// @brief The archived segment to read next before a key can be judged.
  std::optional<std::int64_t> MissingFor(const KeySpan& span) const;

  /// @brief Whether a claim of the key may stand in a dropped segment.
  bool MayBeDropped(const KeySpan& span) const;

  /// @brief Forgets the oldest segments read, to about half of the index.
  void Shrink();

  /// @brief The version of the head; 0: none exists yet.
  std::int64_t Version() const { return this->version; }
  const ClaimSegment& Head() const { return this->head; }
  const ClaimIndex& Index() const { return this->index; }

 private:
  void StartFrom(const ClaimSegment& new_head);

  ClaimSegment head;
  ClaimIndex index;
  std::int64_t version = 0;
  bool known = false;
  /// Segments low..head are in the index, but for those in the gap.
  std::int64_t low = 0;
  std::int64_t low_prior_ms = -1;
  /// Segments gap_next..gap_end-1 are still to be read; of the first of them
  /// gap_skip entries are known.
  std::int64_t gap_next = 0;
  std::int64_t gap_end = 0;
  std::size_t gap_skip = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_SHARD_VIEW_H_
