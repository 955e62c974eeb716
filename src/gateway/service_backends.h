#ifndef MEADOWTHREAD_GATEWAY_SERVICE_BACKENDS_H_
#define MEADOWTHREAD_GATEWAY_SERVICE_BACKENDS_H_

#include <set>
#include <string>

#include "hosts/host_directory.h"
#include "relay/backend_list.h"

namespace meadowthread {

/// @brief Tells the list of backend servers what the host list says of the
/// plain services' servers.
class ServiceBackends {
 public:
  /// @param[in] hosts,backends outlive this, and this outlives what feeds hosts
  ServiceBackends(HostDirectory& hosts, BackendList& backends);
  ServiceBackends(const ServiceBackends&) = delete;
  ServiceBackends& operator=(const ServiceBackends&) = delete;

 private:
  void Take();

  const HostDirectory& hosts;
  BackendList& backends;
  std::set<std::string> listed;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_SERVICE_BACKENDS_H_
