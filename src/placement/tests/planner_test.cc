#include "placement/planner.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>

namespace meadowthread {
namespace {

ServedModel Key(std::string_view name) { return {std::string(name), "", "1"}; }

PlacedEngine Engine(std::string_view name, std::string_view zone,
                    const std::vector<ServedModel>& loaded) {
  PlacedEngine engine;
  engine.name = std::string(name);
  engine.zone = std::string(zone);
  engine.reported.role = "mixed";
  engine.reported.models = loaded;
  return engine;
}

/// Six engines over three zones, with one slot each.
std::vector<PlacedEngine> SixEngines(const std::vector<std::string>& loaded) {
  std::vector<PlacedEngine> engines;
  for (int index = 0; index < 6; ++index) {
    const std::string& model = loaded[index % loaded.size()];
    engines.push_back(Engine(
        "e" + std::to_string(index), "z" + std::to_string(index % 3),
        model.empty() ? std::vector<ServedModel>{} : std::vector{Key(model)}));
  }
  return engines;
}

PlannerInput Input(const std::vector<ModelDemand>& needed,
                   const std::vector<PlacedEngine>& engines) {
  PlannerInput input;
  input.needed = needed;
  input.engines = engines;
  input.load_budget = 100;
  input.urgent_load_budget = 100;
  return input;
}

PlannerSettings UnlimitedChanges() {
  PlannerSettings settings;
  settings.max_changing_share = 1;
  return settings;
}

int CountLoads(const Plan& plan, std::string_view model) {
  return static_cast<int>(std::count_if(
      plan.changes.begin(), plan.changes.end(), [&](const EngineChange& one) {
        return one.load.has_value() && *one.load == Key(model);
      }));
}

Test(a_plan, fills_empty_engines_by_share_of_the_demand) {
  const std::vector<ModelDemand> needed = {{Key("a"), 2}, {Key("b"), 1}};
  const auto engines = SixEngines({""});
  const Plan plan = MakePlan(UnlimitedChanges(), Input(needed, engines));
  cr_assert(CountLoads(plan, "a") == 4 && CountLoads(plan, "b") == 2);
}

Test(a_plan, puts_the_copies_of_a_model_into_different_zones) {
  const std::vector<ModelDemand> needed = {{Key("a")}, {Key("b")}, {Key("c")}};
  const auto engines = SixEngines({""});
  const Plan plan = MakePlan(UnlimitedChanges(), Input(needed, engines));
  std::vector<std::string> of_a;
  for (const EngineChange& change : plan.changes) {
    if (*change.load == Key("a")) {
      of_a.push_back(change.engine);
    }
  }
  cr_assert(of_a == (std::vector<std::string>{"e0", "e4"}));  // z0 and z1
}

Test(a_plan, is_empty_where_nothing_is_short) {
  const auto engines = SixEngines({"a", "b"});
  for (const double weight : {0.8, 1.0, 1.25}) {  // small changes of demand
    const std::vector<ModelDemand> needed = {{Key("a"), weight}, {Key("b")}};
    cr_assert(
        MakePlan(UnlimitedChanges(), Input(needed, engines)).changes.empty());
  }
}

Test(a_plan, follows_a_clear_change_of_demand) {
  const auto engines = SixEngines({"a", "b"});
  const std::vector<ModelDemand> needed = {{Key("a"), 5}, {Key("b"), 1}};
  const Plan plan = MakePlan(UnlimitedChanges(), Input(needed, engines));
  cr_assert(plan.changes.size() == 1);
  cr_assert(plan.changes[0].load == Key("a"));
  cr_assert(plan.changes[0].unload == Key("b"));
}

Test(a_plan, counts_pending_loads_as_copies) {
  const std::vector<ModelDemand> needed = {{Key("a")}};
  auto engines = SixEngines({""});
  for (PlacedEngine& engine : engines) {
    engine.ordered = DesiredState{"mixed", {Key("a")}};
  }
  cr_assert(
      MakePlan(UnlimitedChanges(), Input(needed, engines)).changes.empty());
}

Test(a_plan, gives_models_without_a_copy_the_budget_first) {
  auto engines = SixEngines({"a", "", "a", ""});
  const std::vector<ModelDemand> needed = {
      {Key("a"), 9}, {Key("b"), 1}, {Key("c"), 1, true}};
  PlannerInput input = Input(needed, engines);
  input.urgent_load_budget = 1;
  input.load_budget = 0;
  const Plan plan = MakePlan(UnlimitedChanges(), input);
  cr_assert(plan.changes.size() == 1);
  cr_assert(plan.changes[0].load == Key("c"));
  cr_assert(plan.changes[0].reason == ChangeReason::kNoCopy);
}

Test(a_plan, changes_only_owned_live_engines_without_pending_orders) {
  const std::vector<ModelDemand> needed = {{Key("a")}};
  auto engines = SixEngines({""});
  engines[0].owned = false;
  engines[1].state = EngineLiveness::kLeaving;
  engines[2].state = EngineLiveness::kSilent;
  engines[3].state = EngineLiveness::kGone;
  engines[4].ordered = DesiredState{"mixed", {}};
  const Plan plan = MakePlan(UnlimitedChanges(), Input(needed, engines));
  cr_assert(plan.changes.size() == 1 && plan.changes[0].engine == "e5");
}

Test(a_plan, reports_models_with_too_few_copies) {
  const std::vector<ModelDemand> needed = {{Key("a")}, {Key("b")}};
  const std::vector<PlacedEngine> engines = {Engine("e0", "z0", {Key("a")})};
  const Plan plan = MakePlan(UnlimitedChanges(), Input(needed, engines));
  cr_assert(plan.changes.empty() && plan.shortages.size() == 1);
  cr_assert(plan.shortages[0].key == Key("b"));
}

Test(a_plan, gives_one_engine_a_role_that_is_short) {
  const auto engines = SixEngines({"a"});
  PlannerSettings settings = UnlimitedChanges();
  settings.roles = {{"mixed", 0.5}, {"prefill", 0.5}};
  const std::vector<ModelDemand> needed = {{Key("a")}};
  const Plan plan = MakePlan(settings, Input(needed, engines));
  cr_assert(plan.changes.size() == 1);
  cr_assert(plan.changes[0].desired.role == "prefill");
  cr_assert(plan.changes[0].desired.models == std::vector{Key("a")});
}

namespace the_last_copy {

// Plans for two full engines that both hold "a" while "b" is needed too.
// `change` alters the engines first.
Plan PlanWith(const std::function<void(std::vector<PlacedEngine>&)>& change) {
  std::vector<PlacedEngine> engines = {Engine("e0", "z0", {Key("a")}),
                                       Engine("e1", "z1", {Key("a")})};
  change(engines);
  const std::vector<ModelDemand> needed = {{Key("a")}, {Key("b")}};
  return MakePlan(UnlimitedChanges(), Input(needed, engines));
}

}  // namespace the_last_copy

Test(the_last_copy_of_a_needed_model, is_kept_until_another_is_loaded) {
  const auto unloads_nothing = [](const Plan& plan) {
    return std::none_of(
        plan.changes.begin(), plan.changes.end(),
        [](const EngineChange& one) { return one.unload.has_value(); });
  };
  using the_last_copy::PlanWith;
  cr_assert(!unloads_nothing(PlanWith([](auto&) {})));
  cr_assert(unloads_nothing(PlanWith(
      [](auto& engines) { engines[1].state = EngineLiveness::kSilent; })));
  cr_assert(unloads_nothing(PlanWith(
      [](auto& engines) { engines[1].state = EngineLiveness::kLeaving; })));
  cr_assert(unloads_nothing(
      PlanWith([](auto& engines) { engines[1].owned = false; })));
  cr_assert(unloads_nothing(PlanWith([](auto& engines) {  // still loading
    engines[1].reported.models.clear();
    engines[1].ordered = DesiredState{"mixed", {Key("a")}};
  })));
  cr_assert(unloads_nothing(PlanWith([](auto& engines) {  // being unloaded
    engines[1].ordered = DesiredState{"mixed", {}};
  })));
}

Test(a_stale_list_of_needed_models, unloads_nothing) {
  const auto engines = SixEngines({"old"});
  const std::vector<ModelDemand> needed = {{Key("a")}};
  PlannerInput input = Input(needed, engines);
  input.may_unload = false;
  cr_assert(MakePlan(UnlimitedChanges(), input).changes.empty());
  input.may_unload = true;
  cr_assert(CountLoads(MakePlan(UnlimitedChanges(), input), "a") == 6);
}

Test(a_new_version, replaces_the_old_one_on_a_share_of_the_engines_at_a_time) {
  const auto engines = SixEngines({"old"});
  const std::vector<ModelDemand> needed = {{Key("a")}};
  PlannerSettings settings;
  settings.max_changing_share = 0.34;
  const Plan plan = MakePlan(settings, Input(needed, engines));
  cr_assert(plan.changes.size() == 3);
}

}  // namespace
}  // namespace meadowthread
