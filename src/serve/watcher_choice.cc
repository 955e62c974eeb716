#include "serve/watcher_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace meadowthread {
namespace {

// Hosts that watch the store. A third of the hosts may lose it at once: with
// four, or one in seventeen where there are many, some still see it; with eight
// that fails once in 6,000 times. Each event costs a call of each of them.
constexpr std::ptrdiff_t kLeastWatchers = 4;
constexpr std::ptrdiff_t kMostWatchers = 8;
constexpr double kWatcherPart = 0.06;
// Four hosts watch for a second and a half each, one after the other.
constexpr std::int64_t kStaggerMs = 350;
constexpr int kStaggerPlaces = 4;

std::uint64_t RankOf(std::string_view host) {
  return XXH64(host.data(), host.size(), 0);
}

}  // namespace

// Those whose names' hashes are the lowest among the hosts that answer.
std::optional<int> WatchesStore(std::string_view self,
                                std::span<const std::string_view> answering,
                                std::size_t known) {
  const auto watchers = std::clamp(
      static_cast<std::ptrdiff_t>(kWatcherPart * static_cast<double>(known)),
      kLeastWatchers, kMostWatchers);
  const std::uint64_t own = RankOf(self);
  const auto before = std::count_if(
      answering.begin(), answering.end(),
      [own](std::string_view peer) { return RankOf(peer) < own; });
  if (before >= watchers) {
    return std::nullopt;
  }
  return static_cast<int>(before);
}

// Those beyond the first four are there for when these lose the store: what
// they watch themselves is seldom news.
std::int64_t WatchStaggerMs(int place) {
  return kStaggerMs * std::min(place, kStaggerPlaces - 1);
}

}  // namespace meadowthread
