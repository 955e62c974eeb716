#include "serve/watcher_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace meadowthread {
namespace {

// Number of hosts that watch the store: one in seventeen, within these bounds.
// A third of the hosts may lose contact with the store at once, and some
// watchers should still reach it then. With eight watchers, all of them lose
// contact in about one of 6,000 such cases. More watchers would cost more
// calls, as each change in the store costs a call by each watcher.
constexpr std::ptrdiff_t kMinWatchers = 4;
constexpr std::ptrdiff_t kMaxWatchers = 8;
constexpr double kWatcherShare = 0.06;
// Distributes the starts of four watches of 1.5 s each about evenly over that
// time.
constexpr std::int64_t kStaggerMs = 350;
constexpr int kStaggerSlots = 4;

std::uint64_t RankOf(std::string_view host) {
  return XXH64(host.data(), host.size(), 0);
}

// Up to this number of hosts, heartbeats cost little.
constexpr std::size_t kSmallFleet = 32;

std::ptrdiff_t WatchersAmong(std::size_t hosts) {
  return std::clamp(
      static_cast<std::ptrdiff_t>(kWatcherShare * static_cast<double>(hosts)),
      kMinWatchers, kMaxWatchers);
}

void SortByRank(std::vector<WatchPeer>& hosts) {
  std::sort(hosts.begin(), hosts.end(),
            [](const WatchPeer& one, const WatchPeer& other) {
              return RankOf(one.name) < RankOf(other.name);
            });
}

// Number of hosts that read the store: the first ones.
std::size_t CountReaders(std::span<const WatchPeer> sorted, std::size_t known) {
  const std::ptrdiff_t watchers = WatchersAmong(known);
  std::ptrdiff_t readers = 0;
  std::ptrdiff_t seeing = 0;
  for (const WatchPeer& host : sorted) {
    if (seeing >= watchers || readers >= 2 * watchers) {
      break;
    }
    seeing += host.sees_store ? 1 : 0;
    ++readers;
  }
  return static_cast<std::size_t>(readers);
}

}  // namespace

// The watchers are the hosts with the lowest name hashes among those that
// answer.
std::optional<int> WatcherIndex(std::string_view self,
                                std::span<const WatchPeer> answering,
                                std::size_t known) {
  const std::uint64_t own = RankOf(self);
  std::ptrdiff_t lower_ranked = 0;
  std::ptrdiff_t seeing_lower_ranked = 0;
  for (const WatchPeer& peer : answering) {
    const bool is_lower_ranked = RankOf(peer.name) < own;
    lower_ranked += is_lower_ranked ? 1 : 0;
    seeing_lower_ranked += is_lower_ranked && peer.sees_store ? 1 : 0;
  }
  const std::ptrdiff_t watchers = WatchersAmong(known);
  if (seeing_lower_ranked >= watchers || lower_ranked >= 2 * watchers) {
    return std::nullopt;
  }
  return static_cast<int>(seeing_lower_ranked);
}

std::vector<std::string> StoreReaders(std::vector<WatchPeer> peers) {
  SortByRank(peers);
  const std::size_t readers = CountReaders(peers, peers.size());
  std::vector<std::string> names;
  for (const WatchPeer& peer : std::span(peers).first(readers)) {
    names.emplace_back(peer.name);
  }
  return names;
}

std::vector<std::string> HeartbeatRecipients(
    std::string_view self, std::span<const WatchPeer> answering,
    std::size_t known) {
  std::vector<WatchPeer> hosts(answering.begin(), answering.end());
  hosts.push_back({self});
  SortByRank(hosts);
  const std::size_t readers = CountReaders(hosts, known);
  const std::span<const WatchPeer> watchers = std::span(hosts).first(readers);
  const auto own = std::find_if(
      watchers.begin(), watchers.end(),
      [self](const WatchPeer& watcher) { return watcher.name == self; });
  std::vector<std::string> recipients;
  if (own == watchers.end()) {
    return recipients;
  }
  const auto index = static_cast<std::size_t>(own - watchers.begin());
  const std::size_t senders = hosts.size() <= kSmallFleet ? 2 : 1;
  for (std::size_t at = readers; at < hosts.size(); ++at) {
    // Its senders are the watchers from this one on.
    const std::size_t first = at % readers;
    if ((index + readers - first) % readers < senders) {
      recipients.emplace_back(hosts[at].name);
    }
  }
  return recipients;
}

// The watchers after the first four are spares in case those lose contact with
// the store. The spares' own watches seldom bring a change that they have not
// yet got from the first four, so they share the last slot.
std::int64_t WatchStaggerMs(int index) {
  return kStaggerMs * std::min(index, kStaggerSlots - 1);
}

}  // namespace meadowthread
