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
                                std::span<const WatchPeer> answering,
                                std::size_t known) {
  const std::uint64_t own = RankOf(self);
  std::ptrdiff_t before = 0;
  std::ptrdiff_t seeing_before = 0;
  for (const WatchPeer& peer : answering) {
    const bool is_before = RankOf(peer.name) < own;
    before += is_before ? 1 : 0;
    seeing_before += is_before && peer.sees_store ? 1 : 0;
  }
  const std::ptrdiff_t watchers = WatchersAmong(known);
  if (seeing_before >= watchers || before >= 2 * watchers) {
    return std::nullopt;
  }
  return static_cast<int>(seeing_before);
}

std::vector<std::string> StoreReaders(std::vector<WatchPeer> peers) {
  std::sort(peers.begin(), peers.end(),
            [](const WatchPeer& one, const WatchPeer& other) {
              return RankOf(one.name) < RankOf(other.name);
            });
  const std::ptrdiff_t watchers = WatchersAmong(peers.size());
  std::vector<std::string> readers;
  std::ptrdiff_t seeing = 0;
  for (const WatchPeer& peer : peers) {
    const bool is_over =
        seeing >= watchers || std::ssize(readers) >= 2 * watchers;
    if (is_over) {
      break;
    }
    seeing += peer.sees_store ? 1 : 0;
    readers.emplace_back(peer.name);
  }
  return readers;
}

// Those beyond the first four are there for when these lose the store: what
// they watch themselves is seldom news.
std::int64_t WatchStaggerMs(int place) {
  return kStaggerMs * std::min(place, kStaggerPlaces - 1);
}

}  // namespace meadowthread
