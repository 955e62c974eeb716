#include "claims/claim_index.h"

#include <algorithm>

namespace meadowthread {

void ClaimIndex::Add(const ClaimSegment& segment, std::size_t first_entry) {
  for (std::size_t i = first_entry; i < segment.entries.size(); ++i) {
    const ClaimEntry& entry = segment.entries[i];
    std::vector<IndexedEntry>& key_entries =
        this->entries_by_key[entry.key_hash];
    // Archived segments are read newest first, so the position of an entry may
    // be before entries that are already indexed. Entries of one segment keep
    // their order.
    const auto position = std::ranges::upper_bound(key_entries, segment.number,
                                                   {}, &IndexedEntry::segment);
    key_entries.insert(position, IndexedEntry{entry.nonce, entry.body_digest,
                                              segment.number, entry.kind});
    ++this->size;
  }
}

void ClaimIndex::EvictBelow(std::int64_t segment) {
  for (auto item = this->entries_by_key.begin();
       item != this->entries_by_key.end();) {
    this->size -=
        std::erase_if(item->second, [segment](const IndexedEntry& entry) {
          return entry.segment < segment;
        });
    item = item->second.empty() ? this->entries_by_key.erase(item)
                                : std::next(item);
  }
}

void ClaimIndex::Clear() {
  this->entries_by_key.clear();
  this->size = 0;
}

KeyState ClaimIndex::Find(const Hash256& key_hash) const {
  KeyState state;
  const auto found = this->entries_by_key.find(key_hash);
  if (found == this->entries_by_key.end()) {
    return state;
  }
  const std::vector<IndexedEntry>& key_entries = found->second;
  for (auto entry = key_entries.begin(); entry != key_entries.end(); ++entry) {
    const bool is_holder = state.nonce == entry->nonce;
    if (entry->kind == EntryKind::kClaim && state.status == KeyStatus::kFree) {
      // A nonce is valid for one claim only: a late duplicate of a claim that
      // was released must not hold the key again.
      const bool released = std::any_of(
          key_entries.begin(), entry, [entry](const IndexedEntry& earlier) {
            return earlier.kind == EntryKind::kRelease &&
                   earlier.nonce == entry->nonce;
          });
      if (!released) {
        state = {KeyStatus::kHeld, entry->nonce, entry->body_digest,
                 entry->segment};
      }
    } else if (entry->kind == EntryKind::kRelease && is_holder &&
               state.status == KeyStatus::kHeld) {
      state.status = KeyStatus::kFree;
    } else if (entry->kind == EntryKind::kResult &&
               state.status != KeyStatus::kDone &&
               (is_holder || state.status == KeyStatus::kFree)) {
      // A result for a free key is valid: its claim is in a dropped segment.
      state = {KeyStatus::kDone, entry->nonce, entry->body_digest,
               entry->segment};
    }
  }
  return state;
}

bool ClaimIndex::Has(const Hash256& key_hash, const ClaimNonce& nonce,
                     EntryKind kind) const {
  const auto found = this->entries_by_key.find(key_hash);
  return found != this->entries_by_key.end() &&
         std::ranges::any_of(found->second, [&](const IndexedEntry& entry) {
           return entry.kind == kind && entry.nonce == nonce;
         });
}

}  // namespace meadowthread
