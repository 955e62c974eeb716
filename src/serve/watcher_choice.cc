#include "serve/watcher_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace meadowthread {
namespace {

// Hosts that watch the store. A third of the hosts may lose it at once: with
// four, or one in seventeen where there are many, some still see it. Each event
// costs a call of each of them.
constexpr std::ptrdiff_t kLeastWatchers = 4;
constexpr double kWatcherPart = 0.06;

std::uint64_t RankOf(std::string_view host) {
  return XXH64(host.data(), host.size(), 0);
}

}  // namespace

// Those whose names' hashes are the lowest among the hosts that answer.
std::optional<int> WatchesStore(std::string_view self,
                                std::span<const std::string_view> answering,
                                std::size_t known) {
  const auto watchers = std::max(
      kLeastWatchers,
      static_cast<std::ptrdiff_t>(kWatcherPart * static_cast<double>(known)));
  const std::uint64_t own = RankOf(self);
  const auto before = std::count_if(
      answering.begin(), answering.end(),
      [own](std::string_view peer) { return RankOf(peer) < own; });
  if (before >= watchers) {
    return std::nullopt;
  }
  return static_cast<int>(before);
}

}  // namespace meadowthread
