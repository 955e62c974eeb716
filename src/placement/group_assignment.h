#ifndef MEADOWTHREAD_PLACEMENT_GROUP_ASSIGNMENT_H_
#define MEADOWTHREAD_PLACEMENT_GROUP_ASSIGNMENT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace meadowthread {

/// @brief The name of the lease on one group of a deployment's engines:
/// "placement.{deployment}.{groups}.{group}".
std::string PlacementLeaseName(std::string_view deployment, int groups,
                               int group);

/// @brief The group of an engine, by a hash that is the same on every host.
int GroupOfEngine(std::string_view engine, int groups);

/// @brief How long a host waits before it tries to acquire a free lease, so
/// that few hosts try at once and the leases are spread over the hosts. The
/// order of the hosts differs from lease to lease.
/// @param[in] hosts names of the hosts believed live; a wrong list only changes
/// the delay
/// @return milliseconds
std::int64_t TakeoverDelayMs(std::string_view host, std::string_view lease,
                             std::span<const std::string> hosts);

/// @brief Maps a name to a fraction in [0, 1) by its hash.
double HashFraction(std::string_view name);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_GROUP_ASSIGNMENT_H_
