#ifndef MEADOWTHREAD_SERVE_WATCHER_CHOICE_H_
#define MEADOWTHREAD_SERVE_WATCHER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace meadowthread {

/// @brief Another host that answers this one.
struct WatchPeer {
  std::string_view name;
  bool sees_store = true;  ///< as far as it told
};

/// @brief Whether a host watches the store; the others are told by those that
/// do, as calls to the store cost.
///
/// Hosts that the store fails go on trying, and are replaced by as many others
/// at the most: where these see nothing either, it is the store that is away.
/// @param[in] self this host's name
/// @param[in] answering the peers that answer, this host not among them
/// @param[in] known how many entry hosts there are in all
/// @return its place among those that watch, from 0; none where it does not
/// @complexity O(answering)
std::optional<int> WatchesStore(std::string_view self,
                                std::span<const WatchPeer> answering,
                                std::size_t known);

/// @brief The hosts among these that read the store lately: those that watch
/// it, and those that they replaced.
/// @complexity O(peers log peers)
std::vector<std::string> StoreReaders(std::vector<WatchPeer> peers);

/// @brief How long a host that watches waits after an answer before it watches
/// on: one event answers all that watch, so that the first watches on at once
/// and tells the others, whose watches end one after the other then.
/// @param[in] place as WatchesStore gives it
std::int64_t WatchStaggerMs(int place);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_WATCHER_CHOICE_H_
