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
#include "placement/orderer.h"
#include "placement/ownership_view.h"
#include "placement/placement_source.h"
#include "placement/planner.h"

namespace meadowthread {

/// @brief How placement is run; the same on every host of a half.
struct PlacementControllerSettings {
  int groups = 1;
  LeaseSettings lease;
  PlannerSettings planner;
  LoadBudgetSettings budget;  ///< of all groups together
  EngineTableSettings engines;
  std::int64_t tick_ms = 250;
  std::int64_t list_every_ms = 5'000;  ///< looks at leases held by others
  std::int64_t plan_every_ms = 1'000;
  /// A new holder looks on for so long before its first plan: loads that its
  /// predecessor ordered are not reported until they are done.
  std::int64_t look_on_ms = 5'000;
  std::int64_t refused_pause_ms = 10'000;  ///< after the weight store refused
};

/// @brief What the controllers of one host work with; all outlive them.
struct PlacementContext {
  ObjectStore& store;
  HttpClient& http;
  const Clock& clock;
  NonceSource& nonces;
  const OwnershipView& ownership;
  PlacementSource& source;
};

/// @brief This host's part in placing one group of engines.
class GroupController {
 public:
  GroupController(std::string_view half, int of_group,
                  const PlacementControllerSettings& with,
                  const PlacementContext& in);

  /// @brief Goes on with the lease and, while it is held, with the engines.
  void Tick();

  /// @brief Works out anew how long this host holds back from a free lease.
  /// @complexity linear in the hosts: not for every tick
  void RankSelf();

  Lease& TheLease() { return this->lease; }

 private:
  void Work();
  void UpdateTable();
  void MakeOrders();
  void SendDue();
  void ReadDue();
  void OnResult(const EngineOrder& order, const OrderResult& result);
  void OnRefused(std::int64_t retry_after_ms);

  int group;
  PlacementControllerSettings settings;
  PlacementContext context;
  Lease lease;
  Orderer orderer;
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
