#ifndef MEADOWTHREAD_CLI_ENTRY_HOSTS_H_
#define MEADOWTHREAD_CLI_ENTRY_HOSTS_H_

#include <span>
#include <vector>

#include "cli/platform.h"
#include "nlohmann/json.hpp"

namespace meadowthread {

/// @brief The entry hosts of a host list, sorted by name.
std::vector<HostEntry> EntryHostsOf(const HostList& list);

/// @brief The result of pushing an accepted object to the entry hosts.
struct PushReport {
  int asked = 0;
  int accepted = 0;  ///< hosts that stored the object or already had it
  std::string
      failure;  ///< why the push was not possible, or the first host's error

  std::string Text() const;
  nlohmann::ordered_json Json() const;
};

/// @brief Pushes an accepted object to all entry hosts, so that it takes effect
/// before their watches deliver it; best effort.
PushReport PushToEntryHosts(Platform& platform, const StoredObject& object);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_ENTRY_HOSTS_H_
