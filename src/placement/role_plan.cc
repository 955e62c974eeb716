#include "placement/role_plan.h"

#include <string_view>
#include <vector>

namespace meadowthread::detail {
namespace {

/// The number of engines that have a role, and that should have it.
struct RoleCount {
  std::string_view role;
  double quota = 0;
  int engines = 0;

  double Excess() const { return this->engines - this->quota; }
};

std::string_view RoleOf(const PlacedEngine& engine) {
  return engine.ordered.has_value() ? engine.ordered->role
                                    : engine.reported.role;
}

std::vector<RoleCount> CountRoles(const PlannerSettings& settings,
                                  const std::vector<EnginePlacement>& engines) {
  std::vector<RoleCount> counts;
  for (const RoleShare& share : settings.roles) {
    RoleCount count;
    count.role = share.role;
    count.quota = share.share * static_cast<double>(engines.size());
    for (const EnginePlacement& engine : engines) {
      count.engines += RoleOf(*engine.input) == count.role ? 1 : 0;
    }
    counts.push_back(count);
  }
  return counts;
}

const RoleCount* LargestDeficit(const std::vector<RoleCount>& counts) {
  const RoleCount* best = nullptr;
  for (const RoleCount& count : counts) {
    const bool is_short = count.Excess() <= -1;
    if (is_short && (best == nullptr || count.Excess() < best->Excess())) {
      best = &count;
    }
  }
  return best;
}

// An engine whose role has no configured share may always change.
bool MayReduce(const std::vector<RoleCount>& counts, std::string_view role) {
  constexpr double kMinSurplus = 0.5;
  for (const RoleCount& count : counts) {
    if (count.role == role) {
      return count.engines > 1 && count.Excess() >= kMinSurplus;
    }
  }
  return true;
}

bool MayChange(const EnginePlacement& engine) {
  const PlacedEngine& placed = *engine.input;
  return placed.state == EngineLiveness::kLive && placed.cooled_down &&
         !placed.ordered.has_value() && !engine.changed;
}

}  // namespace

void PlanRoles(const PlannerSettings& settings, PlacementState& placement,
               Plan& plan) {
  const std::vector<RoleCount> counts =
      CountRoles(settings, placement.Engines());
  const RoleCount* target = LargestDeficit(counts);
  if (target == nullptr) {
    return;
  }
  EnginePlacement* best = nullptr;
  for (EnginePlacement& engine : placement.Engines()) {
    const bool eligible =
        MayChange(engine) && MayReduce(counts, RoleOf(*engine.input));
    const bool less_utilized =
        eligible && (best == nullptr ||
                     engine.input->utilization < best->input->utilization);
    best = less_utilized ? &engine : best;
  }
  if (best == nullptr) {
    return;
  }
  EngineChange& change = plan.changes.emplace_back();
  change.engine = best->input->name;
  change.desired = best->input->reported;
  change.desired.role = std::string(target->role);
  change.reason = ChangeReason::kRole;
  placement.MarkChanged(*best);
}

}  // namespace meadowthread::detail
