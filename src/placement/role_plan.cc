#include "placement/role_plan.h"

#include <string_view>
#include <vector>

namespace meadowthread::detail {
namespace {

/// A role's engines against its share of them.
struct RoleCount {
  std::string_view role;
  double quota = 0;
  int engines = 0;

  double Excess() const { return this->engines - this->quota; }
};

std::string_view RoleOf(const PlacedEngine& view) {
  return view.ordered.has_value() ? view.ordered->role : view.reported.role;
}

std::vector<RoleCount> CountRoles(const PlannerSettings& settings,
                                  const std::vector<EngineHoldings>& engines) {
  std::vector<RoleCount> counts;
  for (const RoleShare& share : settings.roles) {
    RoleCount count;
    count.role = share.role;
    count.quota = share.share * static_cast<double>(engines.size());
    for (const EngineHoldings& engine : engines) {
      count.engines += RoleOf(*engine.view) == count.role ? 1 : 0;
    }
    counts.push_back(count);
  }
  return counts;
}

const RoleCount* Shortest(const std::vector<RoleCount>& counts) {
  const RoleCount* best = nullptr;
  for (const RoleCount& count : counts) {
    const bool is_short = count.Excess() <= -1;
    if (is_short && (best == nullptr || count.Excess() < best->Excess())) {
      best = &count;
    }
  }
  return best;
}

// An engine whose role has no share may always be given one that has.
bool MayGive(const std::vector<RoleCount>& counts, std::string_view role) {
  constexpr double kClearlyAbove = 0.5;
  for (const RoleCount& count : counts) {
    if (count.role == role) {
      return count.engines > 1 && count.Excess() >= kClearlyAbove;
    }
  }
  return true;
}

bool MayChange(const EngineHoldings& engine) {
  const PlacedEngine& view = *engine.view;
  return view.state == EngineState::kLive && view.settled &&
         !view.ordered.has_value() && !engine.changed;
}

}  // namespace

void PlanRoles(const PlannerSettings& settings, Holdings& holdings,
               Plan& plan) {
  const std::vector<RoleCount> counts =
      CountRoles(settings, holdings.Engines());
  const RoleCount* wanted = Shortest(counts);
  if (wanted == nullptr) {
    return;
  }
  EngineHoldings* best = nullptr;
  for (EngineHoldings& engine : holdings.Engines()) {
    const bool can = MayChange(engine) && MayGive(counts, RoleOf(*engine.view));
    const bool idler =
        can && (best == nullptr || engine.view->load < best->view->load);
    best = idler ? &engine : best;
  }
  if (best == nullptr) {
    return;
  }
  EngineChange& change = plan.changes.emplace_back();
  change.engine = best->view->name;
  change.desired = best->view->reported;
  change.desired.role = std::string(wanted->role);
  change.reason = ChangeReason::kRole;
  holdings.MarkChanged(*best);
}

}  // namespace meadowthread::detail
