#include "gateway/service_backends.h"

#include <utility>

namespace meadowthread {

ServiceBackends::ServiceBackends(HostDirectory& hosts, BackendList& backends)
    : hosts(hosts), backends(backends) {
  hosts.AddListener([this] { this->Take(); });
}

void ServiceBackends::Take() {
  std::set<std::string> now;
  for (const HostEntry* const host : this->hosts.OfRole(HostRole::kBackend)) {
    BackendEntry entry;
    entry.id = host->name;
    entry.service = host->service;
    entry.address = host->Authority();
    entry.zone = host->zone;
    entry.leaving = host->leaving;
    this->backends.Set(entry);
    now.insert(host->name);
  }
  for (const std::string& name : this->listed) {
    if (!now.contains(name)) {
      this->backends.Remove(name);
    }
  }
  this->listed = std::move(now);
}

}  // namespace meadowthread
