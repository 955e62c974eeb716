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

/// @brief A lease that this host holds.
struct HeldLease {
  std::string lease;
  std::int64_t fence = 0;
  std::int64_t remaining_ms = 0;
};

/// @brief Competes for the lease of every group of engines, and decides which
/// models run on the engines of the groups whose lease this host holds.
class PlacementController {
 public:
  /// @param[in] scheduler outlives the controller
  PlacementController(std::string_view deployment,
                      const PlacementControllerSettings& settings,
                      const PlacementContext& context, Scheduler& scheduler);

  /// @brief Calls Tick periodically until Stop.
  void Start();

  /// @brief Releases every lease, so that other hosts need not wait for it to
  /// expire.
  void Stop();

  /// @brief Lists the leases if the list interval has passed and this host
  /// lacks a lease, and ticks every group.
  void Tick();

  /// @brief The leases that this host holds now.
  std::vector<HeldLease> Held();

 private:
  void Schedule();
  void ListLeases();
  void OnLeases(const absl::StatusOr<ObjectList>& list);
  bool HoldsAll();

  PlacementControllerSettings settings;
  PlacementContext context;
  Scheduler& scheduler;
  std::vector<std::unique_ptr<GroupController>> groups;
  /// Store revision of the last lease listing; 0: none yet.
  std::int64_t revision = 0;
  std::int64_t next_list_ms = 0;
  bool listing = false;
  bool running = false;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_CONTROLLER_H_
