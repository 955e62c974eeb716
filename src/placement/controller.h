#ifndef MEADOWTHREAD_PLACEMENT_CONTROLLER_H_
#define MEADOWTHREAD_PLACEMENT_CONTROLLER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/lifetime.h"
#include "base/scheduler.h"
#include "placement/group_controller.h"

namespace meadowthread {

/// @brief A duty that this host holds.
struct HeldDuty {
  std::string duty;
  std::int64_t fence = 0;
  std::int64_t remaining_ms = 0;
};

/// @brief This host's part in placement: tries for the lease of every group,
/// and places the engines of those it holds.
class PlacementController {
 public:
  /// @param[in] by outlives the controller
  PlacementController(std::string_view half,
                      const PlacementControllerSettings& with,
                      const PlacementContext& in, Scheduler& by);

  /// @brief Begins, and goes on until Stop.
  void Start();

  /// @brief Gives up every lease, and lets successors in at once.
  void Stop();

  /// @brief One turn; Start calls it again and again.
  void Tick();

  /// @brief What this host holds now.
  std::vector<HeldDuty> Held();

 private:
  void Schedule();
  void ListLeases();
  void OnLeases(const absl::StatusOr<ObjectList>& list);
  bool HoldsAll();

  PlacementControllerSettings settings;
  PlacementContext context;
  Scheduler& scheduler;
  std::vector<std::unique_ptr<GroupController>> groups;
  std::int64_t revision = 0;  ///< leases are known up to it; 0: not at all
  std::int64_t next_list_ms = 0;
  bool listing = false;
  bool running = false;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_CONTROLLER_H_
