#include "gateway/service_backend_feed.h"

#include <utility>

namespace meadowthread {

ServiceBackendFeed::ServiceBackendFeed(HostDirectory& hosts,
                                       BackendList& backends)
    : hosts(hosts), backends(backends) {
  hosts.AddListener([this] { this->UpdateBackends(); });
}

void ServiceBackendFeed::UpdateBackends() {
  std::set<std::string> current;
  for (const HostEntry* const host : this->hosts.OfRole(HostRole::kBackend)) {
    BackendEntry entry;
    entry.id = host->name;
    entry.service = host->service;
    entry.address = host->Authority();
    entry.zone = host->zone;
    entry.leaving = host->leaving;
    this->backends.Set(entry);
    current.insert(host->name);
  }
  for (const std::string& name : this->listed) {
    if (!current.contains(name)) {
      this->backends.Remove(name);
    }
  }
  this->listed = std::move(current);
}

}  // namespace meadowthread
