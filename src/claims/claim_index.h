#ifndef MEADOWTHREAD_CLAIMS_CLAIM_INDEX_H_
#define MEADOWTHREAD_CLAIMS_CLAIM_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <unordered_map>
#include <vector>

#include "claims/claim_entry.h"

namespace meadowthread {

/// @brief How a key stands after all known entries.
enum class KeyStanding {
  kFree,  ///< no claim, or every one was released
  kHeld,  ///< claimed, with no result
  kDone,  ///< a result is recorded
};

/// @brief What the log says of one key.
struct KeyState {
  KeyStanding standing = KeyStanding::kFree;
  ClaimNonce nonce{};
  Hash256 body_digest{};
  std::int64_t segment = -1;  ///< where the claim, or its result, stands
};

namespace detail {

/// @brief A SHA-256 is uniform: its first bytes do as a table's hash.
struct FirstBytes {
  std::size_t operator()(const Hash256& hash) const {
    std::size_t value = 0;
    std::memcpy(&value, hash.data(), sizeof(value));
    return value;
  }
};

}  // namespace detail

/// @brief The entries of a shard's log, found by key. Results' bodies are left
/// out, so that the size depends only on the number of entries.
class ClaimIndex {
 public:
  /// @brief Adds a segment's entries, older or newer than those known.
  /// @param[in] from the first entry to add
  void Add(const ClaimSegment& segment, std::size_t from);

  /// @brief Forgets all entries of segments before `segment`.
  /// @complexity linear in the number of keys
  void EvictBelow(std::int64_t segment);

  void Clear();

  /// @brief How a key stands: who first stands after the last release holds.
  KeyState Find(const Hash256& key_hash) const;

  /// @brief Whether an entry of this kind and nonce is known.
  bool Has(const Hash256& key_hash, const ClaimNonce& nonce,
           EntryKind kind) const;

  std::size_t Size() const { return this->size; }

 private:
  struct Event {
    ClaimNonce nonce{};
    Hash256 body_digest{};
    std::int64_t segment = 0;
    EntryKind kind = EntryKind::kClaim;
  };

  std::unordered_map<Hash256, std::vector<Event>, detail::FirstBytes> events;
  std::size_t size = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_CLAIM_INDEX_H_
