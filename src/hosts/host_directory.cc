#include "hosts/host_directory.h"

namespace meadowthread {

bool HostDirectory::Apply(const HostList& list) {
  if (list.as_of_unix_ms < this->as_of_unix_ms) {
    return false;
  }
  this->as_of_unix_ms = list.as_of_unix_ms;
  this->hosts.clear();
  for (const HostEntry& entry : list.hosts) {
    this->hosts[entry.name] = entry;
  }
  for (const Listener& listener : this->listeners) {
    listener();
  }
  return true;
}

const HostEntry* HostDirectory::Find(std::string_view name) const {
  const auto found = this->hosts.find(name);
  return found == this->hosts.end() ? nullptr : &found->second;
}

std::vector<const HostEntry*> HostDirectory::OfRole(HostRole role) const {
  std::vector<const HostEntry*> found;
  for (const auto& [name, entry] : this->hosts) {
    if (entry.role == role) {
      found.push_back(&entry);
    }
  }
  return found;
}

}  // namespace meadowthread
