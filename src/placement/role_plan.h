#ifndef MEADOWTHREAD_PLACEMENT_ROLE_PLAN_H_
#define MEADOWTHREAD_PLACEMENT_ROLE_PLAN_H_

#include "placement/holdings.h"
#include "placement/planner.h"

namespace meadowthread::detail {

/// @brief Adds at most one change of role: from a role above its share by more
/// than half an engine to one that is short of a whole one.
void PlanRoles(const PlannerSettings& settings, Holdings& holdings, Plan& plan);

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_PLACEMENT_ROLE_PLAN_H_
