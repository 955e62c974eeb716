#ifndef MEADOWTHREAD_CLI_ENTRY_HOSTS_H_
#define MEADOWTHREAD_CLI_ENTRY_HOSTS_H_

#include <span>
#include <vector>

#include "cli/platform.h"
#include "nlohmann/json.hpp"

namespace meadowthread {

/// @brief The list's entry hosts, by name.
std::vector<HostEntry> EntryHostsOf(const HostList& list);

/// @brief How entry hosts took an accepted object.
struct OfferReport {
  int asked = 0;
  int took = 0;         ///< took it, or had it already
  std::string trouble;  ///< why none could be asked, or the first failure

  std::string Text() const;
  nlohmann::ordered_json Json() const;
};

/// @brief Pushes an accepted object to all entry hosts, so that it is in force
/// sooner than their watches would bring it; best effort.
OfferReport OfferToAll(Platform& platform, const StoredObject& object);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_ENTRY_HOSTS_H_
