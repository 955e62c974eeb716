#ifndef MEADOWTHREAD_PLACEMENT_GROUP_CONTROLLER_H_
#define MEADOWTHREAD_PLACEMENT_GROUP_CONTROLLER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/lifetime.h"
#include "engine/engine_client.h"
#include "placement/engine_table.h"
#include "placement/lease.h"
#include "placement/load_budget.h"
#include "placement/order_sender.h"
#include "placement/ownership_view.h"
#include "placement/placement_source.h"
#include "placement/planner.h"

namespace meadowthread {

/// @brief Settings of placement; they must be the same on every host of a
/// deployment.
struct PlacementControllerSettings {
  int groups = 1;  ///< number of groups; engines are assigned by hash
  LeaseSettings lease;
  PlannerSettings planner;
  /// `loads_per_second` is the rate of all groups together.
  LoadBudgetSettings budget;
  EngineTableSettings engines;
  std::int64_t tick_ms = 250;
  std::int64_t list_interval_ms = 5'000;  ///< between listings of the leases
  std::int64_t plan_interval_ms = 1'000;
  /// Delay from acquiring the lease to the first plan. Engines report a model
  /// only when it is loaded, so loads that the previous holder ordered may not
  /// be visible at first.
  std::int64_t first_plan_delay_ms = 5'000;
  /// How long no loads are ordered after a load has timed out, or after an
  /// engine answered that it is overloaded without a Retry-After.
  std::int64_t load_backoff_ms = 10'000;
};

/// @brief Dependencies of the controllers of one host; all outlive them.
struct PlacementContext {
  ObjectStore& store;
  HttpClient& http;
  const Clock& clock;
  NonceSource& nonces;
  const OwnershipView& ownership;
  PlacementSource& source;
};

/// @brief Competes for the lease of one group of engines and, while holding it,
/// orders the engines of the group to load and unload models.
class GroupController {
 public:
  GroupController(std::string_view deployment, int group,
                  const PlacementControllerSettings& settings,
                  const PlacementContext& context);

  /// @brief Acquires or renews the lease if due; while it is held, plans and
  /// sends orders.
  void Tick();

  /// @brief Recomputes how long this host waits before it takes over a free
  /// lease.
  /// @complexity linear in the hosts, so not called at every tick
  void UpdateTakeoverDelay();

  Lease& GroupLease() { return this->lease; }

 private:
  void Reconcile();
  void UpdateTable();
  void PlanOrders();
  void SendDueOrders();
  void ReadDueLoads();
  void OnResult(const EngineOrder& order, const OrderResult& result);
  void BackOffLoads(std::int64_t retry_after_ms);

  int group;
  PlacementControllerSettings settings;
  PlacementContext context;
  Lease lease;
  OrderSender order_sender;
  EngineClient engine_client;
  EngineTable table;
  LoadBudget budget;
  std::optional<std::int64_t> held_since_ms;
  std::int64_t planned_ms = 0;
  std::vector<Shortage> shortages;  ///< of the last plan
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_GROUP_CONTROLLER_H_
