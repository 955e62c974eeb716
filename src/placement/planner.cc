#include "placement/planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "placement/placement_state.h"
#include "placement/role_plan.h"

namespace meadowthread {
namespace {

using detail::EnginePlacement;
using detail::ModelCopy;
using detail::ModelCopyCounts;
using detail::PlacementState;

constexpr int kNoModel = -1;

/// A needed model that lacks copies, and why it needs one.
struct Need {
  int model = kNoModel;
  ChangeReason reason = ChangeReason::kDemand;
  bool urgent = false;
  double excess = 0;

  auto Rank() const {
    return std::make_tuple(this->reason, !this->urgent, this->excess);
  }
};

/// Where the slot for a copy comes from, the cheapest first.
enum class SlotCost {
  kFree,      ///< an empty slot
  kUnneeded,  ///< unloads a model that no template needs
  kVictim,    ///< evicts a copy of another needed model
  kNone       ///< the engine cannot take the copy
};

/// An engine that could take a copy; the lowest rank is chosen.
struct Candidate {
  EnginePlacement* engine = nullptr;
  SlotCost cost = SlotCost::kNone;
  int victim = kNoModel;
  bool zone_held = false;  ///< a copy is already in its zone
  double zone_share = 0;
  double victim_excess = 0;

  auto Rank() const {
    const std::string_view name = this->engine->input->name;
    return std::make_tuple(this->zone_held, this->cost, this->zone_share,
                           -this->victim_excess,
                           this->engine->input->utilization, name);
  }
};

class Planner {
 public:
  Planner(const PlannerSettings& settings, const PlannerInput& input)
      : settings(settings),
        input(input),
        placement(settings, input),
        blocked(input.needed.size()) {}

  Plan Make() {
    for (Need need = this->NextNeed(); need.model != kNoModel;
         need = this->NextNeed()) {
      const Candidate best = this->ChooseEngine(need);
      if (best.engine == nullptr) {
        this->blocked[need.model].push_back(need.reason);
      } else {
        this->ApplyChange(need, best);
      }
    }
    this->AddShortages();
    detail::PlanRoles(this->settings, this->placement, this->plan);
    return std::move(this->plan);
  }

 private:
  // 1. The most important need.

  Need NextNeed() const {
    Need best;
    const int count = static_cast<int>(this->input.needed.size());
    for (int model = 0; model < count; ++model) {
      Need need;
      const bool open = this->NeedOf(model, need) &&
                        !this->IsBlocked(model, need.reason) &&
                        this->InBudget(need.reason);
      if (open && (best.model == kNoModel || need.Rank() < best.Rank())) {
        best = need;
      }
    }
    return best;
  }

  bool NeedOf(int model, Need& need) const {
    const ModelCopyCounts& held = this->placement.Models()[model];
    need.model = model;
    need.urgent = this->input.needed[model].urgent;
    need.excess = held.Excess();
    if (held.copies == 0) {
      need.reason = ChangeReason::kNoCopy;
      return true;
    }
    if (held.copies < held.min_copies) {
      need.reason = ChangeReason::kFewCopies;
      return true;
    }
    const bool one_zone = held.copies > 1 && held.ZonesHeld() == 1 &&
                          this->placement.ZoneCount() > 1;
    if (one_zone && !this->IsBlocked(model, ChangeReason::kOneZone)) {
      need.reason = ChangeReason::kOneZone;
      return true;
    }
    need.reason = ChangeReason::kDemand;
    return held.Excess() < 0;
  }

  bool IsBlocked(int model, ChangeReason reason) const {
    const std::vector<ChangeReason>& reasons = this->blocked[model];
    return std::find(reasons.begin(), reasons.end(), reason) != reasons.end();
  }

  bool InBudget(ChangeReason reason) const {
    const bool below_min_copies =
        reason == ChangeReason::kNoCopy || reason == ChangeReason::kFewCopies;
    const int budget = below_min_copies ? this->input.urgent_load_budget
                                        : this->input.load_budget;
    return static_cast<int>(this->plan.changes.size()) < budget &&
           (reason == ChangeReason::kNoCopy || this->MayChangeMore());
  }

  bool MayChangeMore() const {
    const double limit = this->settings.max_changing_share *
                         static_cast<double>(this->engine_count);
    return this->placement.Changing() < std::max(1.0, limit);
  }

  // 2. Which engine takes the copy.

  Candidate ChooseEngine(const Need& need) {
    Candidate best;
    for (EnginePlacement& engine : this->placement.Engines()) {
      if (!MayChange(engine, need)) {
        continue;
      }
      const Candidate candidate = this->Evaluate(engine, need);
      const bool fits = candidate.cost != SlotCost::kNone;
      if (fits && (best.engine == nullptr || candidate.Rank() < best.Rank())) {
        best = candidate;
      }
    }
    return best;
  }

  static bool MayChange(const EnginePlacement& engine, const Need& need) {
    const PlacedEngine& placed = *engine.input;
    const bool may_change_now =
        placed.cooled_down || need.reason == ChangeReason::kNoCopy;
    return placed.state == EngineLiveness::kLive &&
           !placed.ordered.has_value() && !engine.changed && may_change_now &&
           !engine.Holds(need.model);
  }

  Candidate Evaluate(EnginePlacement& engine, const Need& need) const {
    const ModelCopyCounts& held = this->placement.Models()[need.model];
    Candidate candidate;
    candidate.engine = &engine;
    candidate.zone_held = held.by_zone[engine.zone] > 0;
    candidate.zone_share = this->placement.ZoneShare(need.model, engine.zone);
    if (need.reason == ChangeReason::kOneZone && candidate.zone_held) {
      return candidate;
    }
    if (engine.FreeSlots() > 0) {
      candidate.cost = SlotCost::kFree;
    } else if (!this->input.may_unload) {
      candidate.cost = SlotCost::kNone;
    } else if (!engine.unneeded.empty()) {
      candidate.cost = SlotCost::kUnneeded;
    } else {
      this->FindVictim(need, candidate);
    }
    return candidate;
  }

  void FindVictim(const Need& need, Candidate& candidate) const {
    for (const ModelCopy& held : candidate.engine->held) {
      const ModelCopyCounts& model = this->placement.Models()[held.model];
      const bool more = candidate.victim == kNoModel ||
                        model.Excess() > candidate.victim_excess;
      if (more && this->MayEvict(need, *candidate.engine, model)) {
        candidate.cost = SlotCost::kVictim;
        candidate.victim = held.model;
        candidate.victim_excess = model.Excess();
      }
    }
  }

  bool MayEvict(const Need& need, const EnginePlacement& engine,
                const ModelCopyCounts& victim) const {
    // Another live engine must report the victim as loaded. A pending load does
    // not count, and neither does a silent engine, which may be gone.
    if (victim.confirmed_copies < 2) {
      return false;
    }
    if (need.reason == ChangeReason::kNoCopy) {
      return true;
    }
    const bool only_one_in_zone = victim.by_zone[engine.zone] == 1;
    if (only_one_in_zone && victim.ZonesHeld() == 2) {
      return false;
    }
    if (victim.copies <= victim.min_copies) {
      return false;
    }
    return need.reason == ChangeReason::kFewCopies ||
           (victim.Excess() > 0 && this->ExceedsHysteresis(need));
  }

  // For kDemand, another model's copy is evicted only if the shortfall is at
  // least one copy and reaches the hysteresis. Each such eviction lowers the
  // sum of the squared excesses over all models, so repeated planning
  // converges.
  bool ExceedsHysteresis(const Need& need) const {
    if (need.reason == ChangeReason::kOneZone) {
      return true;
    }
    const double quota = this->placement.Models()[need.model].quota;
    return -need.excess >= std::max(1.0, this->settings.hysteresis * quota);
  }

  // 3. Applying the change.

  void ApplyChange(const Need& need, const Candidate& chosen) {
    EnginePlacement& engine = *chosen.engine;
    EngineChange change;
    change.engine = engine.input->name;
    change.reason = need.reason;
    change.load = this->input.needed[need.model].key;
    if (chosen.cost == SlotCost::kVictim) {
      change.unload = this->input.needed[chosen.victim].key;
      this->placement.Remove(engine, chosen.victim);
    } else if (chosen.cost == SlotCost::kUnneeded) {
      change.unload = engine.unneeded.front();
      engine.unneeded.erase(engine.unneeded.begin());
    }
    this->placement.Add(engine, need.model);
    this->placement.MarkChanged(engine);
    change.desired.role = engine.input->reported.role;
    for (const ModelCopy& held : engine.held) {
      change.desired.models.push_back(this->input.needed[held.model].key);
    }
    change.desired.models.insert(change.desired.models.end(),
                                 engine.unneeded.begin(),
                                 engine.unneeded.end());
    this->plan.changes.push_back(std::move(change));
  }

  void AddShortages() {
    for (std::size_t model = 0; model < this->input.needed.size(); ++model) {
      const ModelCopyCounts& held = this->placement.Models()[model];
      if (held.copies < held.min_copies || held.copies == 0) {
        this->plan.shortages.push_back(
            {this->input.needed[model].key, held.copies});
      }
    }
  }

  const PlannerSettings& settings;
  const PlannerInput& input;
  PlacementState placement;
  std::size_t engine_count = this->placement.Engines().size();
  /// Per model, the reasons for which no engine can take a copy in this plan.
  std::vector<std::vector<ChangeReason>> blocked;
  Plan plan;
};

}  // namespace

std::string_view ChangeReasonName(ChangeReason reason) {
  switch (reason) {
    case ChangeReason::kNoCopy:
      return "no_copy";
    case ChangeReason::kFewCopies:
      return "few_copies";
    case ChangeReason::kOneZone:
      return "one_zone";
    case ChangeReason::kDemand:
      return "demand";
    case ChangeReason::kRole:
      return "role";
  }
  return "demand";
}

Plan MakePlan(const PlannerSettings& settings, const PlannerInput& input) {
  return Planner(settings, input).Make();
}

}  // namespace meadowthread
