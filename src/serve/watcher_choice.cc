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

std::ptrdiff_t WatchersAmong(std::size_t hosts) {
  return std::clamp(
      static_cast<std::ptrdiff_t>(kWatcherPart * static_cast<double>(hosts)),
      kLeastWatchers, kMostWatchers);
}

}  // namespace

// Those whose names' hashes are the lowest among the hosts that answer.
std::optional<int> WatchesStore(std::string_view self,
                                std::span<const std::string_view> answering,
                                std::size_t known) {
  const std::uint64_t own = RankOf(self);
  const auto before = std::count_if(
      answering.begin(), answering.end(),
      [own](std::string_view peer) { return RankOf(peer) < own; });
  if (before >= WatchersAmong(known)) {
    return std::nullopt;
  }
  return static_cast<int>(before);
}

std::vector<std::string_view> StoreWatchers(
    std::vector<std::string_view> hosts) {
  std::sort(hosts.begin(), hosts.end(),
            [](std::string_view one, std::string_view other) {
              return RankOf(one) < RankOf(other);
            });
  const auto watchers = static_cast<std::size_t>(WatchersAmong(hosts.size()));
  hosts.resize(std::min(hosts.size(), watchers));
  return hosts;
}

// Those beyond the first four are there for when these lose the store: what
// they watch themselves is seldom news.
std::int64_t WatchStaggerMs(int place) {
  return kStaggerMs * std::min(place, kStaggerPlaces - 1);
}

}  // namespace meadowthread
