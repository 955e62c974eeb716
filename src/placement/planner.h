#ifndef MEADOWTHREAD_PLACEMENT_PLANNER_H_
#define MEADOWTHREAD_PLACEMENT_PLANNER_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "policy/engine_view.h"

namespace meadowthread {

/// @brief What an accepted template needs.
struct NeededModel {
  ServedModel key;
  double weight = 1;    ///< its share of the demand, relative to the others
  bool urgent = false;  ///< some workspace's urgent work waits on it
};

/// @brief Whether an engine can be counted on.
enum class EngineState {
  kLive,
  kSilent,   ///< has not reported for a while: not replaced yet, not relied on
  kLeaving,  ///< marked to leave: replaced, and sent no order
  kGone,     ///< reclaimed or silent for long: replaced
};

/// @brief The whole state wanted of an engine; sending it twice is harmless.
struct DesiredState {
  std::string role;
  std::vector<ServedModel> models;

  friend bool operator==(const DesiredState&, const DesiredState&) = default;
};

/// @brief An engine as the planner sees it.
struct PlacedEngine {
  std::string name;
  std::string zone;
  EngineState state = EngineState::kLive;
  bool owned = true;                    ///< by this half, by a fresh view
  bool settled = true;                  ///< long enough since its last change
  int capacity = 1;                     ///< models it can hold at once
  double load = 0;                      ///< 0: idle, 1: full
  DesiredState reported;                ///< as its last load report says
  std::optional<DesiredState> ordered;  ///< ordered and not yet reported
};

/// @brief A role and its share of the engines.
struct RoleShare {
  std::string role;
  double share = 0;
};

/// @brief What the planner keeps to.
struct PlannerSettings {
  int min_copies = 2;  ///< of each needed model, on different engines
  /// A model is given another copy, at another's cost, only when it is short
  /// of this share of its copies (and of one copy at least).
  double hysteresis = 0.1;
  double max_changing_share = 0.25;  ///< of the engines, at a time
  std::vector<RoleShare> roles;      ///< empty: roles are left as they are
};

/// @brief All that a plan depends on.
struct PlannerInput {
  std::span<const NeededModel> needed;
  std::span<const PlacedEngine> engines;
  int loads = 0;         ///< loads that may be ordered now
  int urgent_loads = 0;  ///< the same for models short of their least copies
  /// Whether the view of the accepted templates is fresh enough to take
  /// models away.
  bool may_unload = true;
};

/// @brief Why an engine is changed.
enum class ChangeReason {
  kNoCopy,     ///< no engine has the model
  kFewCopies,  ///< fewer than the least number of copies
  kOneZone,    ///< all copies are in one availability zone
  kDemand,     ///< too few copies for its share of the demand
  kRole,       ///< too few engines of a role
};

/// @brief The reason's name in log lines.
std::string_view ChangeReasonName(ChangeReason reason);

/// @brief A change to one engine.
struct EngineChange {
  std::string engine;
  DesiredState desired;
  ChangeReason reason = ChangeReason::kDemand;
  std::optional<ServedModel> load;
  std::optional<ServedModel> unload;
};

/// @brief A needed model that cannot be given its least copies now.
struct Shortage {
  ServedModel key;
  int copies = 0;

  friend bool operator==(const Shortage&, const Shortage&) = default;
};

/// @brief The next changes, the most urgent first.
struct Plan {
  std::vector<EngineChange> changes;
  std::vector<Shortage> shortages;
};

/// @brief The least changes that bring the engines nearer to what is needed.
///
/// Pure: no clock, no I/O, the same plan for the same input. A plan changes an
/// engine at most once, and never takes away the last copy of a needed model
/// that a live engine reports.
/// @complexity engines x (loads + models an engine)
Plan MakePlan(const PlannerSettings& settings, const PlannerInput& input);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_PLANNER_H_
