#include "claims/claim_index.h"

#include <algorithm>

namespace meadowthread {

void ClaimIndex::Add(const ClaimSegment& segment, std::size_t from) {
  for (std::size_t i = from; i < segment.entries.size(); ++i) {
    const ClaimEntry& entry = segment.entries[i];
    std::vector<Event>& list = this->events[entry.key_hash];
    // Archived segments are read newest first, so that an entry may have to go
    // in front of those known; within one segment the order is kept.
    const auto place =
        std::ranges::upper_bound(list, segment.number, {}, &Event::segment);
    list.insert(place, Event{entry.nonce, entry.body_digest, segment.number,
                             entry.kind});
    ++this->size;
  }
}

void ClaimIndex::EvictBelow(std::int64_t segment) {
  for (auto item = this->events.begin(); item != this->events.end();) {
    this->size -= std::erase_if(item->second, [segment](const Event& event) {
      return event.segment < segment;
    });
    item = item->second.empty() ? this->events.erase(item) : std::next(item);
  }
}

void ClaimIndex::Clear() {
  this->events.clear();
  this->size = 0;
}

KeyState ClaimIndex::Find(const Hash256& key_hash) const {
  KeyState state;
  const auto found = this->events.find(key_hash);
  if (found == this->events.end()) {
    return state;
  }
  const std::vector<Event>& list = found->second;
  for (auto event = list.begin(); event != list.end(); ++event) {
    const bool is_holder = state.nonce == event->nonce;
    if (event->kind == EntryKind::kClaim &&
        state.standing == KeyStanding::kFree) {
      // A nonce is used once: a late copy of a claim that was given back must
      // not hold the key again.
      const bool given_back =
          std::any_of(list.begin(), event, [event](const Event& earlier) {
            return earlier.kind == EntryKind::kRelease &&
                   earlier.nonce == event->nonce;
          });
      if (!given_back) {
        state = {KeyStanding::kHeld, event->nonce, event->body_digest,
                 event->segment};
      }
    } else if (event->kind == EntryKind::kRelease && is_holder &&
               state.standing == KeyStanding::kHeld) {
      state.standing = KeyStanding::kFree;
    } else if (event->kind == EntryKind::kResult &&
               state.standing != KeyStanding::kDone &&
               (is_holder || state.standing == KeyStanding::kFree)) {
      // A result without its claim: the claim's segment was dropped.
      state = {KeyStanding::kDone, event->nonce, event->body_digest,
               event->segment};
    }
  }
  return state;
}

bool ClaimIndex::Has(const Hash256& key_hash, const ClaimNonce& nonce,
                     EntryKind kind) const {
  const auto found = this->events.find(key_hash);
  return found != this->events.end() &&
         std::ranges::any_of(found->second, [&](const Event& event) {
           return event.kind == kind && event.nonce == nonce;
         });
}

}  // namespace meadowthread
