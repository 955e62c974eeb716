#ifndef MEADOWTHREAD_SERVE_GONE_HOSTS_H_
#define MEADOWTHREAD_SERVE_GONE_HOSTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "serve/host_entries.h"

namespace meadowthread {

/// @brief Finds entry hosts that are gone for good, so that their entries can
/// be taken out of the store.
///
/// Every host tells every other of its load each three seconds. One that has
/// been silent for `kSilentMs` while others of its availability zone were heard
/// is gone; a zone that is silent as a whole may be cut off, and its entries
/// stay. A host that was wrongly taken for gone writes its entry anew.
class GoneHosts {
 public:
  /// Twenty of the times in which a host is heard: restarts, freezes and cuts
  /// of a link are over by then.
  static constexpr std::int64_t kSilentMs = 60'000;
  /// How recently the others of the zone must have been heard.
  static constexpr std::int64_t kHeardMs = 10'000;

  /// @param[in] clock outlives this
  GoneHosts(std::string_view self, const Clock& clock);

  /// @brief Takes the entries that lie in the store.
  void SetKnown(const std::vector<EntryHost>& entries);

  /// @brief A host was heard.
  void NoteHeard(std::string_view host);

  /// @brief Hosts whose entries this host is to remove now: the first one by
  /// name among those heard has the duty.
  /// @complexity O(hosts)
  std::vector<std::string> ToRemove() const;

 private:
  struct Known {
    std::string zone;
    std::int64_t heard_ms = 0;  ///< or when it became known
    bool heard = false;         ///< at all, in this host's life
  };

  bool IsHeardNow(const Known& host) const;

  std::string self;
  const Clock& clock;
  std::map<std::string, Known, std::less<>> known;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_GONE_HOSTS_H_
