#ifndef MEADOWTHREAD_SERVE_PROPAGATION_DELAYS_H_
#define MEADOWTHREAD_SERVE_PROPAGATION_DELAYS_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "configuration/view_watcher.h"

namespace meadowthread {

/// @brief The delays between a change in the store and a host that acts on it,
/// in milliseconds.
struct PropagationPath {
  WatcherOptions feeder;        ///< of the hosts that read the store
  std::int64_t stagger_ms = 0;  ///< maximum additional pause between watches
  std::int64_t round_ms = 0;  ///< maximum interval of a host's exchange rounds
  std::int64_t connect_ms = 0;  ///< maximum time from choosing a server to the
                                ///< request's arrival there
};

/// @brief The times within which hosts have to act on changes in the store, in
/// milliseconds.
struct PropagationBounds {
  std::int64_t change_ms = 2'000;    ///< a new configuration is in force
  std::int64_t leaving_ms = 2'000;   ///< a leaving server gets no new requests
  std::int64_t emptying_ms = 5'000;  ///< an emptied zone gets no new requests
  /// After a disturbance of the store or of connections, the bounds above hold
  /// again within this time.
  std::int64_t settle_ms = 3'000;
};

/// @brief The maximum total delay on one path, and its bound.
struct PropagationDelay {
  std::string_view what;  ///< name of the path
  std::int64_t longest_ms = 0;
  std::int64_t bound_ms = 0;

  bool IsWithinBound() const { return this->longest_ms <= this->bound_ms; }
};

/// @brief Calculates the delays until a configuration change is in force.
std::vector<PropagationDelay> ConfigChangeDelays(
    const PropagationPath& path, const PropagationBounds& bounds);

/// @brief Calculates the delays until servers that left, or whose entries
/// expired, get no more requests.
std::vector<PropagationDelay> ServerRemovalDelays(
    const PropagationPath& path, const PropagationBounds& bounds);

/// @brief Calculates the delays until an emptied availability zone gets no more
/// requests.
/// @param[in] path the path on which emptied zones are read
std::vector<PropagationDelay> ZoneEmptyingDelays(
    const PropagationPath& path, const PropagationBounds& bounds);

/// @brief Logs the delays that exceed their bounds.
void LogExceededBounds(const std::vector<PropagationDelay>& waits);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_PROPAGATION_DELAYS_H_
