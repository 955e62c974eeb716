#include "policy/prefix_hints.h"

#include <algorithm>

namespace meadowthread {

void PrefixHints::Stored(std::uint64_t prefix, std::uint32_t engine) {
  if (prefix == 0) {
    return;
  }
  auto [found, added] = this->entries.try_emplace(prefix);
  Entry& entry = found->second;
  auto* const begin = entry.engines.begin();
  auto* end = begin + entry.count;
  auto* at = std::find(begin, end, engine);
  if (at == end) {
    entry.count = std::min(entry.count + 1, kEnginesEach);
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

void PrefixHints::Evicted(std::uint64_t prefix, std::uint32_t engine) {
  const auto found = this->entries.find(prefix);
  if (found == this->entries.end()) {
    return;
  }
  Drop(&found->second, engine);
}

// An entry without engines keeps its place until it ages out, so that its
// place in the order stays true.
void PrefixHints::Drop(Entry* entry, std::uint32_t engine) {
  auto* const end = entry->engines.begin() + entry->count;
  auto* const kept = std::remove(entry->engines.begin(), end, engine);
  entry->count = static_cast<std::size_t>(kept - entry->engines.begin());
}

void PrefixHints::Forget(std::uint32_t engine) {
  for (auto& [prefix, entry] : this->entries) {
    Drop(&entry, engine);
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
