#include "policy/allowed_regions.h"

#include <algorithm>
#include <iterator>

namespace meadowthread {

bool MayRunIn(const AllowedRegions& allowed_regions, std::string_view region) {
  return !allowed_regions.has_value() ||
         std::find(allowed_regions->begin(), allowed_regions->end(), region) !=
             allowed_regions->end();
}

AllowedRegions AllowedRegionsOf(std::span<const std::string> route,
                                std::span<const std::string> workspace) {
  if (route.empty() && workspace.empty()) {
    return std::nullopt;
  }
  if (route.empty() || workspace.empty()) {
    const std::span<const std::string> only = route.empty() ? workspace : route;
    return std::vector<std::string>(only.begin(), only.end());
  }
  std::vector<std::string> both;
  std::copy_if(route.begin(), route.end(), std::back_inserter(both),
               [workspace](const std::string& region) {
                 return std::find(workspace.begin(), workspace.end(), region) !=
                        workspace.end();
               });
  return both;
}

}  // namespace meadowthread
