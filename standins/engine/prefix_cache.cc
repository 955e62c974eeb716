#include "engine/prefix_cache.h"

#include <algorithm>

namespace meadowthread::standins {
namespace {

constexpr std::size_t kMaxEvents = 10'000;

}  // namespace

bool PrefixCache::Use(std::uint64_t prefix, std::int64_t now_ms) {
  const auto found = std::find(this->held.begin(), this->held.end(), prefix);
  if (found != this->held.end()) {
    this->held.splice(this->held.begin(), this->held, found);
    return true;
  }
  this->held.push_front(prefix);
  this->Note(CacheEventKind::kStored, prefix, now_ms);
  if (this->held.size() > this->capacity) {
    this->Note(CacheEventKind::kEvicted, this->held.back(), now_ms);
    this->held.pop_back();
  }
  return false;
}

void PrefixCache::Clear() {
  this->held.clear();
  this->events.clear();
}

std::vector<CacheEvent> PrefixCache::EventsAfter(std::int64_t seq,
                                                 std::int64_t as_of_ms,
                                                 std::int64_t gap_every) const {
  std::vector<CacheEvent> wanted;
  for (const CacheEvent& event : this->events) {
    const bool left_out = gap_every > 0 && event.seq % gap_every == 0;
    if (event.seq > seq && event.at_ms <= as_of_ms && !left_out) {
      wanted.push_back(event);
    }
  }
  return wanted;
}

void PrefixCache::Note(CacheEventKind kind, std::uint64_t prefix,
                       std::int64_t now_ms) {
  this->events.push_back({++this->last_seq, kind, prefix, now_ms});
  if (this->events.size() > kMaxEvents) {
    this->events.pop_front();
  }
}

}  // namespace meadowthread::standins
