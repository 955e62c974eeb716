#ifndef MEADOWTHREAD_GATEWAY_SERVICE_BACKEND_FEED_H_
#define MEADOWTHREAD_GATEWAY_SERVICE_BACKEND_FEED_H_

#include <set>
#include <string>

#include "hosts/host_directory.h"
#include "relay/backend_list.h"

namespace meadowthread {

/// @brief Keeps the list of backend servers up to date with the plain services'
/// servers in the host list.
class ServiceBackendFeed {
 public:
  /// @param[in] hosts,backends must outlive this object, which must outlive the
  /// source of updates to `hosts`
  ServiceBackendFeed(HostDirectory& hosts, BackendList& backends);
  ServiceBackendFeed(const ServiceBackendFeed&) = delete;
  ServiceBackendFeed& operator=(const ServiceBackendFeed&) = delete;

 private:
  void UpdateBackends();

  const HostDirectory& hosts;
  BackendList& backends;
  std::set<std::string> listed;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_SERVICE_BACKEND_FEED_H_
