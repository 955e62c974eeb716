#ifndef MEADOWTHREAD_HOSTS_HOST_DIRECTORY_H_
#define MEADOWTHREAD_HOSTS_HOST_DIRECTORY_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hosts/host_list.h"

namespace meadowthread {

/// @brief The newest host list that this process has seen.
class HostDirectory {
 public:
  using Listener = std::function<void()>;

  /// @brief Takes a list unless it is older than the one in hand.
  /// @return whether it was taken
  bool Apply(const HostList& list);

  /// @brief Called after each list that was taken.
  void AddListener(const Listener& listener) {
    this->listeners.push_back(listener);
  }

  /// @brief The entry of a host, or null.
  const HostEntry* Find(std::string_view name) const;

  /// @brief All hosts of a role, by name.
  std::vector<const HostEntry*> OfRole(HostRole role) const;

 private:
  std::map<std::string, HostEntry, std::less<>> hosts;
  std::vector<Listener> listeners;
  std::int64_t as_of_unix_ms = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_HOSTS_HOST_DIRECTORY_H_
