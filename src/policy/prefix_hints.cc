#include "policy/prefix_hints.h"

#include <algorithm>

namespace meadowthread {

void PrefixHints::NoteStored(std::uint64_t prefix, std::uint32_t engine) {
  if (prefix == 0) {
    return;
  }
  auto [found, added] = this->entries.try_emplace(prefix);
  Entry& entry = found->second;
  auto* const begin = entry.engines.begin();
  auto* end = begin + entry.count;
  auto* at = std::find(begin, end, engine);
  if (at == end) {
    entry.count = std::min(entry.count + 1, kMaxEnginesPerPrefix);
    at = begin + entry.count - 1;
    *at = engine;
  }
  std::rotate(begin, at, at + 1);
  if (!added) {
    return;
  }
  this->insertion_order.push_back(prefix);
  while (this->insertion_order.size() > this->max_prefixes) {
    this->entries.erase(this->insertion_order.front());
    this->insertion_order.pop_front();
  }
}

void PrefixHints::NoteEvicted(std::uint64_t prefix, std::uint32_t engine) {
  const auto found = this->entries.find(prefix);
  if (found == this->entries.end()) {
    return;
  }
  RemoveEngineFrom(&found->second, engine);
}

// An entry without engines is not erased until it is the oldest, so that
// `insertion_order` and `entries` always hold the same prefixes.
void PrefixHints::RemoveEngineFrom(Entry* entry, std::uint32_t engine) {
  auto* const end = entry->engines.begin() + entry->count;
  auto* const kept = std::remove(entry->engines.begin(), end, engine);
  entry->count = static_cast<std::size_t>(kept - entry->engines.begin());
}

void PrefixHints::ForgetEngine(std::uint32_t engine) {
  for (auto& [prefix, entry] : this->entries) {
    RemoveEngineFrom(&entry, engine);
  }
}

std::span<const std::uint32_t> PrefixHints::EnginesOf(
    std::uint64_t prefix) const {
  const auto found = this->entries.find(prefix);
  if (found == this->entries.end()) {
    return {};
  }
  return {found->second.engines.data(), found->second.count};
}

}  // namespace meadowthread
