#ifndef MEADOWTHREAD_PLACEMENT_ROLE_PLAN_H_
#define MEADOWTHREAD_PLACEMENT_ROLE_PLAN_H_

#include "placement/placement_state.h"
#include "placement/planner.h"

namespace meadowthread::detail {

/// @brief Adds at most one change of an engine's role to the plan: to the role
/// that is furthest below its share, by at least one engine, from a role that
/// has no configured share, or has more than one engine and is above its share
/// by at least half an engine.
void PlanRoles(const PlannerSettings& settings, PlacementState& placement,
               Plan& plan);

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_PLACEMENT_ROLE_PLAN_H_
