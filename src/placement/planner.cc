#include "placement/planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "placement/holdings.h"
#include "placement/role_plan.h"

namespace meadowthread {
namespace {

using detail::EngineHoldings;
using detail::HeldModel;
using detail::Holdings;
using detail::ModelHoldings;

constexpr int kNoModel = -1;

/// What a model is short of.
struct Need {
  int model = kNoModel;
  ChangeReason reason = ChangeReason::kDemand;
  bool urgent = false;
  double excess = 0;

  auto Rank() const {
    return std::make_tuple(this->reason, !this->urgent, this->excess);
  }
};

/// What a copy on an engine would cost.
enum class SlotCost { kFree, kUnneeded, kVictim, kNone };

/// An engine that could take a copy.
struct Candidate {
  EngineHoldings* engine = nullptr;
  SlotCost cost = SlotCost::kNone;
  int victim = kNoModel;
  bool zone_held = false;  ///< the zone has a copy already
  double zone_share = 0;
  double victim_excess = 0;

  auto Rank() const {
    const std::string_view name = this->engine->view->name;
    return std::make_tuple(this->zone_held, this->cost, this->zone_share,
                           -this->victim_excess, this->engine->view->load,
                           name);
  }
};

class Planner {
 public:
  Planner(const PlannerSettings& with, const PlannerInput& from)
      : settings(with),
        input(from),
        holdings(with, from),
        blocked(from.needed.size()) {}

  Plan Make() {
    for (Need need = this->NextNeed(); need.model != kNoModel;
         need = this->NextNeed()) {
      const Candidate best = this->Choose(need);
      if (best.engine == nullptr) {
        this->blocked[need.model].push_back(need.reason);
      } else {
        this->Change(need, best);
      }
    }
    this->AddShortages();
    detail::PlanRoles(this->settings, this->holdings, this->plan);
    return std::move(this->plan);
  }

 private:
  // 1. What is needed most.

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
    const ModelHoldings& held = this->holdings.Models()[model];
    need.model = model;
    need.urgent = this->input.needed[model].urgent;
    need.excess = held.Excess();
    if (held.copies == 0) {
      need.reason = ChangeReason::kNoCopy;
      return true;
    }
    if (held.copies < held.least) {
      need.reason = ChangeReason::kFewCopies;
      return true;
    }
    const bool one_zone = held.copies > 1 && held.ZonesHeld() == 1 &&
                          this->holdings.ZoneCount() > 1;
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
    const bool short_of_least =
        reason == ChangeReason::kNoCopy || reason == ChangeReason::kFewCopies;
    const int most =
        short_of_least ? this->input.urgent_loads : this->input.loads;
    return static_cast<int>(this->plan.changes.size()) < most &&
           (reason == ChangeReason::kNoCopy || this->MayChangeMore());
  }

  bool MayChangeMore() const {
    const double most = this->settings.max_changing_share *
                        static_cast<double>(this->engine_count);
    return this->holdings.Changing() < std::max(1.0, most);
  }

  // 2. Which engine takes the copy.

  Candidate Choose(const Need& need) {
    Candidate best;
    for (EngineHoldings& engine : this->holdings.Engines()) {
      if (!MayChange(engine, need)) {
        continue;
      }
      const Candidate candidate = this->Weigh(engine, need);
      const bool fits = candidate.cost != SlotCost::kNone;
      if (fits && (best.engine == nullptr || candidate.Rank() < best.Rank())) {
        best = candidate;
      }
    }
    return best;
  }

  static bool MayChange(const EngineHoldings& engine, const Need& need) {
    const PlacedEngine& view = *engine.view;
    const bool rested = view.settled || need.reason == ChangeReason::kNoCopy;
    return view.state == EngineState::kLive && !view.ordered.has_value() &&
           !engine.changed && rested && !engine.Holds(need.model);
  }

  Candidate Weigh(EngineHoldings& engine, const Need& need) const {
    const ModelHoldings& held = this->holdings.Models()[need.model];
    Candidate candidate;
    candidate.engine = &engine;
    candidate.zone_held = held.by_zone[engine.zone] > 0;
    candidate.zone_share = this->holdings.ZoneShare(need.model, engine.zone);
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
    for (const HeldModel& held : candidate.engine->held) {
      const ModelHoldings& model = this->holdings.Models()[held.model];
      const bool more = candidate.victim == kNoModel ||
                        model.Excess() > candidate.victim_excess;
      if (more && this->MayTake(need, *candidate.engine, model)) {
        candidate.cost = SlotCost::kVictim;
        candidate.victim = held.model;
        candidate.victim_excess = model.Excess();
      }
    }
  }

  bool MayTake(const Need& need, const EngineHoldings& engine,
               const ModelHoldings& victim) const {
    // Another live engine must report it loaded: an order under way is no
    // copy yet, and a silent engine may be gone.
    if (victim.sure < 2) {
      return false;
    }
    if (need.reason == ChangeReason::kNoCopy) {
      return true;
    }
    const bool only_one_in_zone = victim.by_zone[engine.zone] == 1;
    if (only_one_in_zone && victim.ZonesHeld() == 2) {
      return false;
    }
    if (victim.copies <= victim.least) {
      return false;
    }
    return need.reason == ChangeReason::kFewCopies ||
           (victim.Excess() > 0 && this->IsFarBelow(need));
  }

  // A copy is taken from another model only for a shortfall of a whole copy
  // and more than the hysteresis: each such move lowers the sum of squared
  // excesses, so that the moves come to an end.
  bool IsFarBelow(const Need& need) const {
    if (need.reason == ChangeReason::kOneZone) {
      return true;
    }
    const double quota = this->holdings.Models()[need.model].quota;
    return -need.excess >= std::max(1.0, this->settings.hysteresis * quota);
  }

  // 3. The change.

  void Change(const Need& need, const Candidate& chosen) {
    EngineHoldings& engine = *chosen.engine;
    EngineChange change;
    change.engine = engine.view->name;
    change.reason = need.reason;
    change.load = this->input.needed[need.model].key;
    if (chosen.cost == SlotCost::kVictim) {
      change.unload = this->input.needed[chosen.victim].key;
      this->holdings.Remove(engine, chosen.victim);
    } else if (chosen.cost == SlotCost::kUnneeded) {
      change.unload = engine.unneeded.front();
      engine.unneeded.erase(engine.unneeded.begin());
    }
    this->holdings.Add(engine, need.model);
    this->holdings.MarkChanged(engine);
    change.desired.role = engine.view->reported.role;
    for (const HeldModel& held : engine.held) {
      change.desired.models.push_back(this->input.needed[held.model].key);
    }
    change.desired.models.insert(change.desired.models.end(),
                                 engine.unneeded.begin(),
                                 engine.unneeded.end());
    this->plan.changes.push_back(std::move(change));
  }

  void AddShortages() {
    for (std::size_t model = 0; model < this->input.needed.size(); ++model) {
      const ModelHoldings& held = this->holdings.Models()[model];
      if (held.copies < held.least || held.copies == 0) {
        this->plan.shortages.push_back(
            {this->input.needed[model].key, held.copies});
      }
    }
  }

  const PlannerSettings& settings;
  const PlannerInput& input;
  Holdings holdings;
  std::size_t engine_count = this->holdings.Engines().size();
  /// Needs of each model that no engine can meet in this plan.
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
