#ifndef MEADOWTHREAD_SERVE_WATCHER_SELECTION_H_
#define MEADOWTHREAD_SERVE_WATCHER_SELECTION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace meadowthread {

/// @brief A peer that answers this host.
struct WatchPeer {
  std::string_view name;
  bool sees_store = true;  ///< false if it reported that its reads fail
};

/// @brief Decides whether a host watches the store. As calls to the store are
/// expensive, only some hosts watch it and pass on what they read to the
/// others.
///
/// Watchers whose reads fail keep trying, and are replaced by at most as many
/// other hosts. If the reads of the replacements fail as well, the store itself
/// is down.
/// @param[in] self this host's name
/// @param[in] answering the peers that answer, without this host
/// @param[in] known number of all known entry hosts
/// @return the host's index among the watchers, from 0; nullopt if it does not
/// watch
/// @complexity O(answering)
std::optional<int> WatcherIndex(std::string_view self,
                                std::span<const WatchPeer> answering,
                                std::size_t known);

/// @brief Names of the peers that read the store: the watchers, and the hosts
/// that were replaced as watchers because their reads fail but that keep
/// trying.
/// @complexity O(peers log peers)
std::vector<std::string> StoreReaders(std::vector<WatchPeer> peers);

/// @brief The hosts to which a watcher sends its heartbeats: a share of those
/// that do not watch the store. In small fleets each of them hears from two
/// watchers, in large ones from one.
/// @param[in] self,answering,known as for WatcherIndex
/// @return no host if `self` does not watch
/// @complexity O(answering log answering)
std::vector<std::string> HeartbeatRecipients(
    std::string_view self, std::span<const WatchPeer> answering,
    std::size_t known);

/// @brief How long a watcher waits after an answer before its next watch.
///
/// A change in the store ends all open watches at once. With a delay that
/// depends on the index, the first watcher watches again immediately and passes
/// on changes, and the watches of the others start, and so end, one after the
/// other.
/// @param[in] index as WatcherIndex gives it
std::int64_t WatchStaggerMs(int index);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_WATCHER_SELECTION_H_
