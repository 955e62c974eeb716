#ifndef MEADOWTHREAD_PLACEMENT_PLANNER_H_
#define MEADOWTHREAD_PLACEMENT_PLANNER_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "policy/engine_view.h"

namespace meadowthread {

/// @brief A model that the accepted templates need.
struct ModelDemand {
  ServedModel key;
  double weight = 1;    ///< share of the demand, relative to the other models
  bool urgent = false;  ///< an urgent service needs it
};

/// @brief Whether an engine can be relied on.
enum class EngineLiveness {
  kLive,
  kSilent,   ///< no recent report: gets no orders, is not replaced yet
  kLeaving,  ///< to be removed: gets no orders, is replaced
  kGone,  ///< no report for long, such as after the machine was reclaimed: is
          ///< replaced
};

/// @brief The complete state that an engine shall have, so that sending it
/// twice is harmless.
struct DesiredState {
  std::string role;
  std::vector<ServedModel> models;

  friend bool operator==(const DesiredState&, const DesiredState&) = default;
};

/// @brief An engine as input for the planner.
struct PlacedEngine {
  std::string name;
  std::string zone;
  EngineLiveness state = EngineLiveness::kLive;
  /// Known for certain to be owned by this deployment, and not refusing orders.
  bool owned = true;
  bool cooled_down = true;  ///< its last change is at least the cooldown ago
  int capacity = 1;         ///< models it can have loaded at once
  double utilization = 0;   ///< of its KV cache; 0: empty, 1: full
  DesiredState reported;    ///< in its last load report
  std::optional<DesiredState> ordered;  ///< pending order
};

/// @brief The share of the engines that shall have a role.
struct RoleShare {
  std::string role;
  double share = 0;
};

/// @brief Rules for the planner.
struct PlannerSettings {
  /// Least number of copies of each needed model, on different engines.
  int min_copies = 2;
  /// A copy of another model is evicted for demand only if the shortfall is at
  /// least this share of the model's quota, and at least one copy.
  double hysteresis = 0.1;
  /// Upper limit for the share of the owned engines, live or silent, that have
  /// a pending order or a planned change. One engine may always change, and a
  /// load of a model without any copy ignores the limit.
  double max_changing_share = 0.25;
  std::vector<RoleShare> roles;  ///< empty: the planner changes no roles
};

/// @brief Everything that a plan depends on besides the settings.
struct PlannerInput {
  std::span<const ModelDemand> needed;
  std::span<const PlacedEngine> engines;
  int load_budget = 0;         ///< loads that may be ordered now
  int urgent_load_budget = 0;  ///< the same for models below min_copies
  /// Whether `needed` is recent enough to unload models. If not, only free
  /// slots are used.
  bool may_unload = true;
};

/// @brief Why an engine is changed, the most important reason first.
enum class ChangeReason {
  kNoCopy,     ///< no engine has a copy of the model
  kFewCopies,  ///< fewer copies than min_copies
  kOneZone,    ///< all copies are in one availability zone
  kDemand,     ///< fewer copies than its share of the demand
  kRole,       ///< too few engines have a role
};

/// @brief The name of a reason in log lines.
std::string_view ChangeReasonName(ChangeReason reason);

/// @brief A change of the models or the role of one engine.
struct EngineChange {
  std::string engine;
  DesiredState desired;
  ChangeReason reason = ChangeReason::kDemand;
  std::optional<ServedModel> load;
  std::optional<ServedModel> unload;
};

/// @brief A needed model that has fewer than min_copies, or none, after the
/// plan.
struct Shortage {
  ServedModel key;
  int copies = 0;

  friend bool operator==(const Shortage&, const Shortage&) = default;
};

/// @brief The next changes, the most important first, and the shortages that
/// remain.
struct Plan {
  std::vector<EngineChange> changes;
  std::vector<Shortage> shortages;
};

/// @brief Plans the fewest changes that bring the engines closer to what is
/// needed.
///
/// A pure function without clock or I/O: the same input gives the same plan. A
/// plan changes an engine at most once, and never unloads the last copy of a
/// needed model that a live engine reports.
/// @complexity O(engines * (loads + models per engine))
Plan MakePlan(const PlannerSettings& settings, const PlannerInput& input);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_PLANNER_H_
