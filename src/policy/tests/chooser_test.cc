#include "policy/chooser.h"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

#include "policy/baseline_choosers.h"
#include "policy/memory_aware_chooser.h"
#include "policy/tests/fleet_fixture.h"

namespace meadowthread {
namespace {

using testing::Fleet;
using testing::Work;

Test(a_chooser, reports_that_no_engine_has_the_model) {
  Fleet fleet(3);
  WorkItem work = Work("r");
  work.model = "other";
  MemoryAwareChooser memory;
  RoundRobinChooser turns;
  const Decision first = memory.Choose(work, fleet.state, 0, 1);
  cr_assert(!first.engine && first.reason == DecisionReason::kNotServed);
  const Decision second = turns.Choose(work, fleet.state, 0, 1);
  cr_assert(!second.engine && second.reason == DecisionReason::kNotServed);
}

Test(a_chooser, never_chooses_a_leaving_dead_or_stalled_engine) {
  Fleet fleet(4);
  fleet.state.SetEngine({"e0", "z", true, true}, 0);
  fleet.state.SetEngine({"e1", "z", false, false}, 0);
  fleet.state.EngineStalled("e2", 0);
  RoundRobinChooser turns;
  LeastLoadChooser least;
  PowerOfTwoChooser two;
  MemoryAwareChooser memory;
  for (EngineChooser* chooser :
       {static_cast<EngineChooser*>(&turns),
        static_cast<EngineChooser*>(&least), static_cast<EngineChooser*>(&two),
        static_cast<EngineChooser*>(&memory)}) {
    for (std::uint64_t i = 0; i < 50; ++i) {
      const Decision decision =
          chooser->Choose(Work("r"), fleet.state, 0, i << 40U);
      cr_assert(!decision.engine || *decision.engine == "e3");
    }
  }
  fleet.state.RemoveEngine("e3");
  const Decision none = memory.Choose(Work("r"), fleet.state, 0, 1);
  cr_assert(!none.engine && none.reason == DecisionReason::kNoneUsable);
  cr_assert(none.retry_after_ms > 0);
}

Test(a_round_robin_chooser, takes_each_engine_in_turn) {
  Fleet fleet(3);
  RoundRobinChooser turns;
  std::set<std::string> seen;
  for (int i = 0; i < 3; ++i) {
    seen.insert(*turns.Choose(Work("r"), fleet.state, 0, 0).engine);
  }
  cr_assert(seen.size() == 3);
}

Test(a_memory_aware_chooser, sends_only_where_memory_will_suffice) {
  Fleet fleet(2);
  MemoryAwareChooser chooser;
  fleet.Teach(Work("r"), 4'000);
  int sent = 0;
  for (int i = 0; i < 20; ++i) {
    const WorkItem work = Work("r" + std::to_string(i));
    const Decision decision = chooser.Choose(work, fleet.state, 0, 1);
    if (decision.engine) {
      fleet.state.NoteSent(work, *decision.engine, 0);
      ++sent;
    } else {
      cr_assert(decision.reason == DecisionReason::kNoneHasRoom);
    }
  }
  // Each of the two engines has 20,000 tokens of memory, enough for four
  // finished outputs of 4,100 tokens each. Lengths are learned only to the
  // precision of a bucket, about a fifth.
  cr_assert(sent >= 6 && sent <= 10);
}

Test(a_memory_aware_chooser, keeps_room_for_short_urgent_work) {
  Fleet fleet(1);
  MemoryAwareChooser chooser;
  fleet.Teach(Work("r"), 4'000);
  WorkItem tag = Work("tag", Urgency::kUrgent);
  tag.template_name = "tag";
  fleet.Teach(tag, 10);
  Decision decision;
  for (int i = 0; i < 20; ++i) {
    const WorkItem work = Work("r" + std::to_string(i));
    decision = chooser.Choose(work, fleet.state, 0, 1);
    if (decision.engine) {
      fleet.state.NoteSent(work, *decision.engine, 0);
    }
  }
  cr_assert(!decision.engine);
  cr_assert(chooser.Choose(tag, fleet.state, 0, 1).engine.has_value());
}

Test(a_memory_aware_chooser, sends_urgent_work_where_memory_is_free_now) {
  Fleet fleet(2);
  LoadReport full = testing::ReportOf(0, 1);
  full.running = 1;
  full.kv_used = testing::kCapacity * 98 / 100;
  LoadReport crowded = testing::ReportOf(1, 1);
  crowded.running = 40;
  crowded.kv_used = testing::kCapacity / 5;
  WorkItem tag = Work("tag", Urgency::kUrgent);
  for (int i = 0; i < 400; ++i) {
    fleet.lengths.Observe(LengthKeyOf(tag), 2);
  }
  fleet.state.ApplyReport(full, 1);
  fleet.state.ApplyReport(crowded, 1);
  // Without the risk weights, only the memory held now decides.
  MemoryAwareOptions options;
  options.weights = {0.0, 0.0, 1.0};
  MemoryAwareChooser chooser(options);
  cr_assert(chooser.Choose(tag, fleet.state, 1, 1).engine == "e1");
  options.urgent_fullness = 0.0;
  MemoryAwareChooser plain(options);
  cr_assert(plain.Choose(tag, fleet.state, 1, 1).engine == "e0");
}

Test(a_memory_aware_chooser, leaves_the_last_memory_to_the_preferring_host) {
  const std::vector<std::string> hosts = {"h0", "h1"};
  Fleet first(1);
  Fleet second(1);
  first.state.SetHosts("h0", hosts);
  second.state.SetHosts("h1", hosts);
  Fleet& preferring = first.state.IsPreferred(0) ? first : second;
  Fleet& other = first.state.IsPreferred(0) ? second : first;
  const auto fill = [](FleetState& state) {
    MemoryAwareChooser chooser;
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
      const WorkItem work = Work("r" + std::to_string(i));
      const Decision decision = chooser.Choose(work, state, 0, 1);
      if (decision.engine) {
        state.NoteSent(work, *decision.engine, 0);
        ++sent;
      }
    }
    return sent;
  };
  preferring.Teach(Work("r"), 400);
  other.Teach(Work("r"), 400);
  cr_assert(fill(preferring.state) > fill(other.state));
}

Test(a_memory_aware_chooser, favors_the_engine_with_the_prefix) {
  Fleet fleet(8);
  WorkItem work = Work("r");
  work.prefix_hash = 99;
  fleet.state.NoteCached("e5", 99, true);
  MemoryAwareChooser chooser;
  const Decision decision = chooser.Choose(work, fleet.state, 0, 3);
  cr_assert(decision.engine == "e5");
  cr_assert(decision.reason == DecisionReason::kPrefixHint);
}

Test(a_memory_aware_chooser, reports_the_engines_considered) {
  Fleet fleet(8);
  MemoryAwareChooser chooser;
  const Decision decision = chooser.Choose(Work("r"), fleet.state, 0, 3);
  cr_assert(!decision.considered.empty() && decision.considered.size() <= 4);
  cr_assert(decision.considered[0].engine == *decision.engine);
}

Test(a_memory_aware_chooser, spreads_over_equal_engines) {
  Fleet fleet(8);
  MemoryAwareChooser chooser;
  std::set<std::string> seen;
  for (std::uint64_t i = 0; i < 64; ++i) {
    seen.insert(*chooser.Choose(Work("r"), fleet.state, 0, i).engine);
  }
  cr_assert(seen.size() == 8);
}

}  // namespace
}  // namespace meadowthread
