#ifndef MEADOWTHREAD_POLICY_ALLOWED_REGIONS_H_
#define MEADOWTHREAD_POLICY_ALLOWED_REGIONS_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace meadowthread {

/// @brief The regions in which a request may run. Not set: any region; empty:
/// no region.
using AllowedRegions = std::optional<std::vector<std::string>>;

/// @brief Whether a request with these allowed regions may run in `region`.
bool MayRunIn(const AllowedRegions& allowed_regions, std::string_view region);

/// @brief The regions allowed by both lists, the route's and the workspace's.
/// An empty list imposes no restriction.
AllowedRegions AllowedRegionsOf(std::span<const std::string> route,
                                std::span<const std::string> workspace);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_ALLOWED_REGIONS_H_
