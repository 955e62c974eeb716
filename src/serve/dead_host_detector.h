#ifndef MEADOWTHREAD_SERVE_DEAD_HOST_DETECTOR_H_
#define MEADOWTHREAD_SERVE_DEAD_HOST_DETECTOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "serve/entry_host_registry.h"

namespace meadowthread {

/// @brief Detects entry hosts that are permanently gone, so that their entries
/// can be removed from the store.
///
/// Every host reports its load to all others every three seconds. A host from
/// which nothing was heard for `kDeadAfterMs` counts as dead if other hosts of
/// its availability zone were heard recently. If nothing is heard from a whole
/// zone, a network partition may be the cause, so the entries of its hosts
/// stay. A host that was wrongly declared dead writes its entry again.
class DeadHostDetector {
 public:
  /// Twenty load report intervals: longer than restarts, freezes and link
  /// failures last.
  static constexpr std::int64_t kDeadAfterMs = 60'000;
  /// How recently other hosts of the zone must have been heard.
  static constexpr std::int64_t kRecentMs = 10'000;

  /// @param[in] self this host's name
  /// @param[in] clock outlives this
  DeadHostDetector(std::string_view self, const Clock& clock);

  /// @brief Sets the entries that are in the store.
  void SetKnown(const std::vector<EntryHost>& entries);

  /// @brief Records that a message from a host arrived.
  void NoteHeard(std::string_view host);

  /// @brief The dead hosts whose entries this host is to remove now; empty
  /// unless this host's name comes first among the hosts heard recently.
  /// @complexity O(hosts)
  std::vector<std::string> HostsToRemove() const;

 private:
  struct KnownHost {
    std::string zone;
    /// Monotonic time of its latest message; before the first one, the time
    /// when its entry was first seen.
    std::int64_t heard_ms = 0;
    bool heard = false;  ///< at least once since this host started
  };

  bool WasHeardRecently(const KnownHost& host) const;

  std::string self;
  const Clock& clock;
  std::map<std::string, KnownHost, std::less<>> known;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_DEAD_HOST_DETECTOR_H_
