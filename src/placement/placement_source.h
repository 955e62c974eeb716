#ifndef MEADOWTHREAD_PLACEMENT_PLACEMENT_SOURCE_H_
#define MEADOWTHREAD_PLACEMENT_PLACEMENT_SOURCE_H_

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "placement/planner.h"
#include "policy/engine_view.h"

namespace meadowthread {

/// @brief An engine with its entry in the host list and its last load report.
struct ListedEngine {
  std::string name;
  std::string base_url;
  std::string zone;
  bool leaving = false;
  int capacity = 1;  ///< models that it can have loaded at once
  std::optional<LoadReport> report;
};

/// @brief Provides placement with the needed models, the engines and the hosts.
class PlacementSource {
 public:
  virtual ~PlacementSource() = default;

  /// @brief The models that the accepted templates need, as this host knows
  /// them.
  virtual std::vector<ModelDemand> NeededModels() = 0;

  /// @brief Whether the list of needed models is recent enough to unload models
  /// that are not in it.
  virtual bool NeededModelsAreFresh() = 0;

  /// @brief All known engines; the span is valid until the next turn of the
  /// event loop.
  virtual std::span<const ListedEngine> Engines() = 0;

  /// @brief Names of the entry hosts believed live; the list may be wrong.
  virtual std::span<const std::string> LiveHosts() = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_PLACEMENT_SOURCE_H_
