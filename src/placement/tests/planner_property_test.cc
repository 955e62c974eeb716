#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <set>
#include <vector>

#include "placement/planner.h"

namespace meadowthread {
namespace {

constexpr int kModels = 6;
constexpr int kBudget = 3;
constexpr int kLoadRounds = 3;

/// A fleet that carries orders out some rounds later, and loses engines.
struct Fleet {
  explicit Fleet(unsigned seed) : random(seed) {
    const int count = 8 + static_cast<int>(this->random() % 30);
    for (int index = 0; index < count; ++index) {
      PlacedEngine engine;
      engine.name = "e" + std::to_string(index);
      engine.zone = "z" + std::to_string(index % 3);
      engine.capacity = 2 + static_cast<int>(this->random() % 2);
      this->engines.push_back(engine);
    }
    this->due.assign(count, 0);
    for (int model = 0; model < kModels; ++model) {
      this->needed.push_back({{"m" + std::to_string(model), "", "1"},
                              1.0 + static_cast<double>(this->random() % 5),
                              this->random() % 3 == 0});
    }
  }

  Plan Next() {
    PlannerInput input;
    input.needed = this->needed;
    input.engines = this->engines;
    input.loads = kBudget - 1;
    input.urgent_loads = kBudget;
    return MakePlan(PlannerSettings{}, input);
  }

  /// Live engines that report the model and will go on holding it.
  int SureCopies(const ServedModel& key) const {
    return static_cast<int>(std::count_if(
        this->engines.begin(), this->engines.end(),
        [&](const PlacedEngine& one) {
          const auto has = [&key](const DesiredState& state) {
            return std::find(state.models.begin(), state.models.end(), key) !=
                   state.models.end();
          };
          return one.state == EngineState::kLive && has(one.reported) &&
                 (!one.ordered.has_value() || has(*one.ordered));
        }));
  }

  void Order(const Plan& plan) {
    for (const EngineChange& change : plan.changes) {
      const std::size_t index = std::stoul(change.engine.substr(1));
      this->engines[index].ordered = change.desired;
      this->due[index] = this->round + kLoadRounds;
    }
  }

  void Pass() {
    ++this->round;
    for (std::size_t index = 0; index < this->engines.size(); ++index) {
      PlacedEngine& engine = this->engines[index];
      if (engine.ordered.has_value() && this->round >= this->due[index]) {
        engine.reported = *engine.ordered;
        engine.ordered.reset();
      }
    }
  }

  /// An engine falls silent, is reclaimed, or comes back empty; a template
  /// comes to need another version.
  void Disturb() {
    PlacedEngine& engine = this->engines[this->random() % this->engines.size()];
    switch (this->random() % 4) {
      case 0:
        engine.state = EngineState::kSilent;
        break;
      case 1:
        engine.state = EngineState::kGone;
        engine.ordered.reset();
        engine.reported.models.clear();
        break;
      case 2:
        this->needed[this->random() % kModels].key.version += "1";
        break;
      default:
        engine.state = EngineState::kLive;
    }
  }

  std::mt19937 random;
  std::vector<PlacedEngine> engines;
  std::vector<int> due;
  std::vector<NeededModel> needed;
  int round = 0;
};

/// Whether every needed model that had a copy keeps one, once it is ordered.
bool KeepsLastCopies(Fleet& fleet, const Plan& plan) {
  std::vector<int> before;
  before.reserve(fleet.needed.size());
  for (const NeededModel& one : fleet.needed) {
    before.push_back(fleet.SureCopies(one.key));
  }
  fleet.Order(plan);
  for (std::size_t model = 0; model < fleet.needed.size(); ++model) {
    const int after = fleet.SureCopies(fleet.needed[model].key);
    if (before[model] > 0 && after == 0) {
      return false;
    }
  }
  return true;
}

bool KeepsCapacities(const Fleet& fleet) {
  return std::all_of(fleet.engines.begin(), fleet.engines.end(),
                     [](const auto& engine) {
                       return !engine.ordered.has_value() ||
                              static_cast<int>(engine.ordered->models.size()) <=
                                  engine.capacity;
                     });
}

Test(plans_over_many_seeds, keep_the_last_copies_and_the_budget) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    Fleet fleet(seed);
    for (int round = 0; round < 150; ++round) {
      if (fleet.random() % 6 == 0) {
        fleet.Disturb();
      }
      const Plan plan = fleet.Next();
      cr_assert(plan.changes.size() <= kBudget);
      cr_assert(KeepsLastCopies(fleet, plan), "seed %u", seed);
      cr_assert(KeepsCapacities(fleet));
      fleet.Pass();
    }
  }
}

Test(plans_over_many_seeds, come_to_an_end_with_every_model_held) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    Fleet fleet(seed);
    for (int fault = 0; fault < 5; ++fault) {
      fleet.Order(fleet.Next());
      fleet.Pass();
      fleet.Disturb();
    }
    int quiet = 0;
    for (int round = 0; round < 400 && quiet <= kLoadRounds; ++round) {
      const Plan plan = fleet.Next();
      quiet = plan.changes.empty() ? quiet + 1 : 0;
      fleet.Order(plan);
      fleet.Pass();
    }
    cr_assert(quiet > kLoadRounds, "seed %u does not settle", seed);
    for (const NeededModel& one : fleet.needed) {
      cr_assert(fleet.SureCopies(one.key) >= 1);
    }
    cr_assert(fleet.Next().shortages.empty());
  }
}

Test(plans_over_many_seeds, replace_a_reclaimed_engine_once) {
  for (unsigned seed = 1; seed <= 100; ++seed) {
    Fleet fleet(seed);
    for (int round = 0; round < 300; ++round) {
      fleet.Order(fleet.Next());
      fleet.Pass();
    }
    PlacedEngine& lost = fleet.engines[fleet.random() % fleet.engines.size()];
    const std::size_t copies = lost.reported.models.size();
    lost.state = EngineState::kGone;
    std::size_t loads = 0;
    for (int round = 0; round < 60; ++round) {
      const Plan plan = fleet.Next();
      loads += plan.changes.size();
      fleet.Order(plan);
      fleet.Pass();
    }
    // Each copy lost leads to one load at most, with one more where taking a
    // copy from another model leaves that one short in a zone.
    cr_assert(loads <= 2 * copies, "seed %u: %zu loads", seed, loads);
  }
}

}  // namespace
}  // namespace meadowthread
