#ifndef MEADOWTHREAD_POLICY_HOME_REGIONS_H_
#define MEADOWTHREAD_POLICY_HOME_REGIONS_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace meadowthread {

/// @brief The regions that a request may run in. Not set: any; empty: none.
using HomeRegions = std::optional<std::vector<std::string>>;

/// @brief Whether a request with these homes may run in a region.
bool MayRunIn(const HomeRegions& homes, std::string_view region);

/// @brief The homes of a request that its route and its workspace both bind;
/// an empty list binds nothing.
HomeRegions HomesOf(std::span<const std::string> route,
                    std::span<const std::string> workspace);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_HOME_REGIONS_H_
