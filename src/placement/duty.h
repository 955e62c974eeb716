#ifndef MEADOWTHREAD_PLACEMENT_DUTY_H_
#define MEADOWTHREAD_PLACEMENT_DUTY_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace meadowthread {

/// @brief The duty of placing one group of a half's engines:
/// "placement.{half}.{groups}.{group}".
std::string PlacementDuty(std::string_view half, int groups, int group);

/// @brief The group of an engine: the same on every host.
int GroupOfEngine(std::string_view engine, int groups);

/// @brief How long a host holds back from a duty that is free, so that few try
/// at once and the duties spread over the hosts.
/// @param[in] hosts believed live; a wrong list costs time only
/// @return milliseconds
std::int64_t TakeoverDelayMs(std::string_view host, std::string_view duty,
                             std::span<const std::string> hosts);

/// @brief A share in [0, 1) that differs from name to name.
double SpreadOf(std::string_view name);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_DUTY_H_
