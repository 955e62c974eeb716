#ifndef MEADOWTHREAD_PLACEMENT_PLACEMENT_SOURCE_H_
#define MEADOWTHREAD_PLACEMENT_PLACEMENT_SOURCE_H_

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "placement/planner.h"
#include "policy/engine_view.h"

namespace meadowthread {

/// @brief An engine as the host list and the load reports show it.
struct ListedEngine {
  std::string name;
  std::string base_url;
  std::string zone;
  bool leaving = false;
  int capacity = 1;  ///< models it can hold at once
  std::optional<LoadReport> report;
};

/// @brief What placement needs to know from the rest of the host.
class PlacementSource {
 public:
  virtual ~PlacementSource() = default;

  /// @brief What the accepted templates need, in force on this host.
  virtual std::vector<NeededModel> Needed() = 0;

  /// @brief Whether that view is confirmed lately enough to unload by it.
  virtual bool NeededIsFresh() = 0;

  /// @brief All engines known; valid until the next turn of the event loop.
  virtual std::span<const ListedEngine> Engines() = 0;

  /// @brief Names of the entry hosts believed live; a hint.
  virtual std::span<const std::string> LiveHosts() = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_PLACEMENT_SOURCE_H_
