#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <set>
#include <vector>

#include "placement/planner.h"

namespace meadowthread {
namespace {

constexpr int kModels = 6;
constexpr int kLoadBudget = 3;
constexpr int kLoadRounds = 3;

/// Simulated engines that complete orders some rounds later and can fail.
struct SimulatedFleet {
  explicit SimulatedFleet(unsigned seed) : random(seed) {
    const int count = 8 + static_cast<int>(this->random() % 30);
    for (int index = 0; index < count; ++index) {
      PlacedEngine engine;
      engine.name = "e" + std::to_string(index);
      engine.zone = "z" + std::to_string(index % 3);
      engine.capacity = 2 + static_cast<int>(this->random() % 2);
      this->engines.push_back(engine);
    }
    this->due_rounds.assign(count, 0);
    for (int model = 0; model < kModels; ++model) {
      this->needed.push_back({{"m" + std::to_string(model), "", "1"},
                              1.0 + static_cast<double>(this->random() % 5),
                              this->random() % 3 == 0});
    }
  }

  Plan MakeNextPlan() {
    PlannerInput input;
    input.needed = this->needed;
    input.engines = this->engines;
    input.load_budget = kLoadBudget - 1;
    input.urgent_load_budget = kLoadBudget;
    return MakePlan(PlannerSettings{}, input);
  }

  /// The number of live engines that report the model and have no order to
  /// unload it.
  int ConfirmedCopies(const ServedModel& key) const {
    return static_cast<int>(std::count_if(
        this->engines.begin(), this->engines.end(),
        [&](const PlacedEngine& one) {
          const auto has = [&key](const DesiredState& state) {
            return std::find(state.models.begin(), state.models.end(), key) !=
                   state.models.end();
          };
          return one.state == EngineLiveness::kLive && has(one.reported) &&
                 (!one.ordered.has_value() || has(*one.ordered));
        }));
  }

  void Order(const Plan& plan) {
    for (const EngineChange& change : plan.changes) {
      const std::size_t index = std::stoul(change.engine.substr(1));
      this->engines[index].ordered = change.desired;
      this->due_rounds[index] = this->round + kLoadRounds;
    }
  }

  void AdvanceRound() {
    ++this->round;
    for (std::size_t index = 0; index < this->engines.size(); ++index) {
      PlacedEngine& engine = this->engines[index];
      if (engine.ordered.has_value() &&
          this->round >= this->due_rounds[index]) {
        engine.reported = *engine.ordered;
        engine.ordered.reset();
      }
    }
  }

  /// Makes an engine silent, gone or live, or a template need a new version of
  /// its model. An engine loses its models when it is gone.
  void InjectFault() {
    PlacedEngine& engine = this->engines[this->random() % this->engines.size()];
    switch (this->random() % 4) {
      case 0:
        engine.state = EngineLiveness::kSilent;
        break;
      case 1:
        engine.state = EngineLiveness::kGone;
        engine.ordered.reset();
        engine.reported.models.clear();
        break;
      case 2:
        this->needed[this->random() % kModels].key.version += "1";
        break;
      default:
        engine.state = EngineLiveness::kLive;
    }
  }

  std::mt19937 random;
  std::vector<PlacedEngine> engines;
  std::vector<int> due_rounds;
  std::vector<ModelDemand> needed;
  int round = 0;
};

/// Orders the plan. Returns whether each needed model that had a confirmed copy
/// still has one.
bool KeepsLastCopies(SimulatedFleet& fleet, const Plan& plan) {
  std::vector<int> before;
  before.reserve(fleet.needed.size());
  for (const ModelDemand& one : fleet.needed) {
    before.push_back(fleet.ConfirmedCopies(one.key));
  }
  fleet.Order(plan);
  for (std::size_t model = 0; model < fleet.needed.size(); ++model) {
    const int after = fleet.ConfirmedCopies(fleet.needed[model].key);
    if (before[model] > 0 && after == 0) {
      return false;
    }
  }
  return true;
}

bool RespectsCapacities(const SimulatedFleet& fleet) {
  return std::all_of(fleet.engines.begin(), fleet.engines.end(),
                     [](const auto& engine) {
                       return !engine.ordered.has_value() ||
                              static_cast<int>(engine.ordered->models.size()) <=
                                  engine.capacity;
                     });
}

Test(random_plans, keep_last_copies_and_stay_within_the_budget) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    SimulatedFleet fleet(seed);
    for (int round = 0; round < 150; ++round) {
      if (fleet.random() % 6 == 0) {
        fleet.InjectFault();
      }
      const Plan plan = fleet.MakeNextPlan();
      cr_assert(plan.changes.size() <= kLoadBudget);
      cr_assert(KeepsLastCopies(fleet, plan), "seed %u", seed);
      cr_assert(RespectsCapacities(fleet));
      fleet.AdvanceRound();
    }
  }
}

Test(random_plans, converge_with_every_model_loaded) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    SimulatedFleet fleet(seed);
    for (int fault = 0; fault < 5; ++fault) {
      fleet.Order(fleet.MakeNextPlan());
      fleet.AdvanceRound();
      fleet.InjectFault();
    }
    int rounds_without_change = 0;
    for (int round = 0; round < 400 && rounds_without_change <= kLoadRounds;
         ++round) {
      const Plan plan = fleet.MakeNextPlan();
      rounds_without_change =
          plan.changes.empty() ? rounds_without_change + 1 : 0;
      fleet.Order(plan);
      fleet.AdvanceRound();
    }
    cr_assert(rounds_without_change > kLoadRounds, "seed %u does not settle",
              seed);
    for (const ModelDemand& one : fleet.needed) {
      cr_assert(fleet.ConfirmedCopies(one.key) >= 1);
    }
    cr_assert(fleet.MakeNextPlan().shortages.empty());
  }
}

Test(random_plans, replace_a_reclaimed_engine_once) {
  for (unsigned seed = 1; seed <= 100; ++seed) {
    SimulatedFleet fleet(seed);
    for (int round = 0; round < 300; ++round) {
      fleet.Order(fleet.MakeNextPlan());
      fleet.AdvanceRound();
    }
    PlacedEngine& lost = fleet.engines[fleet.random() % fleet.engines.size()];
    const std::size_t copies = lost.reported.models.size();
    lost.state = EngineLiveness::kGone;
    std::size_t loads = 0;
    for (int round = 0; round < 60; ++round) {
      const Plan plan = fleet.MakeNextPlan();
      loads += plan.changes.size();
      fleet.Order(plan);
      fleet.AdvanceRound();
    }
    // Each lost copy causes at most one load, and a second one if the model
    // evicted for it then lacks a copy in a second zone.
    cr_assert(loads <= 2 * copies, "seed %u: %zu loads", seed, loads);
  }
}

}  // namespace
}  // namespace meadowthread
