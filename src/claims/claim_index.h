#ifndef MEADOWTHREAD_CLAIMS_CLAIM_INDEX_H_
#define MEADOWTHREAD_CLAIMS_CLAIM_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <unordered_map>
#include <vector>

#include "claims/claim_entry.h"

namespace meadowthread {

/// @brief The status of a key after all indexed entries.
enum class KeyStatus {
  kFree,  ///< no claim, or all claims were released
  kHeld,  ///< claimed, without a result
  kDone,  ///< a result is recorded
};

/// @brief The state of one key, derived from the log.
struct KeyState {
  KeyStatus status = KeyStatus::kFree;
  ClaimNonce nonce{};
  Hash256 body_digest{};
  std::int64_t segment = -1;  ///< segment of the claim or of its result
};

namespace detail {

/// @brief Hash function for tables keyed by a SHA-256. Its first bytes suffice,
/// as a SHA-256 is uniformly distributed.
struct Sha256Hasher {
  std::size_t operator()(const Hash256& hash) const {
    std::size_t value = 0;
    std::memcpy(&value, hash.data(), sizeof(value));
    return value;
  }
};

}  // namespace detail

/// @brief Index of a shard's log entries by key. It leaves out the bodies of
/// results, so its size depends only on the number of entries.
class ClaimIndex {
 public:
  /// @brief Adds a segment's entries, which may be older or newer than those
  /// already indexed.
  /// @param[in] first_entry index of the first entry to add
  void Add(const ClaimSegment& segment, std::size_t first_entry);

  /// @brief Removes all entries of segments before `segment`.
  /// @complexity linear in the number of keys
  void EvictBelow(std::int64_t segment);

  void Clear();

  /// @brief The state of a key. The first claim in log order that was not
  /// released holds it.
  KeyState Find(const Hash256& key_hash) const;

  /// @brief Whether an entry of this kind and nonce is indexed.
  bool Has(const Hash256& key_hash, const ClaimNonce& nonce,
           EntryKind kind) const;

  std::size_t Size() const { return this->size; }

 private:
  struct IndexedEntry {
    ClaimNonce nonce{};
    Hash256 body_digest{};
    std::int64_t segment = 0;
    EntryKind kind = EntryKind::kClaim;
  };

  std::unordered_map<Hash256, std::vector<IndexedEntry>, detail::Sha256Hasher>
      entries_by_key;
  std::size_t size = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_CLAIM_INDEX_H_
