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

/// @brief The hosts of the newest host list that this process has received.
class HostDirectory {
 public:
  using Listener = std::function<void()>;

  /// @brief Replaces the hosts by those of `list`, unless that is older than
  /// the current list.
  /// @return whether the hosts were replaced
  bool Apply(const HostList& list);

  /// @brief Adds a function that is called whenever the hosts were replaced.
  void AddListener(const Listener& listener) {
    this->listeners.push_back(listener);
  }

  /// @brief The entry of a host, or null if it is not listed.
  const HostEntry* Find(std::string_view name) const;

  /// @brief All hosts with a role, sorted by name.
  std::vector<const HostEntry*> OfRole(HostRole role) const;

 private:
  std::map<std::string, HostEntry, std::less<>> hosts;
  std::vector<Listener> listeners;
  std::int64_t as_of_unix_ms = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_HOSTS_HOST_DIRECTORY_H_
