#include "placement/controller.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

#include "placement/tests/controller_fixture.h"

namespace meadowthread {
namespace {

Test(a_controller, loads_the_needed_models) {
  PlacementTestbed testbed(6);
  testbed.Run(30'000, {&testbed.one, &testbed.two});
  cr_assert(testbed.EnginesWith("a") == 3 && testbed.EnginesWith("b") == 3);
  cr_assert(testbed.one.Holds() != testbed.two.Holds());
  cr_assert(testbed.one.client.orders_sent + testbed.two.client.orders_sent ==
            6);
}

Test(a_controller, runs_on_its_scheduler_until_it_is_stopped) {
  PlacementTestbed testbed(1);
  testbed.one.controller.Start();
  for (int turn = 0; turn < 40; ++turn) {
    testbed.clock.Advance(kTickMs);
    testbed.one.scheduler.RunDue();
    testbed.store.Settle();
  }
  cr_assert(testbed.one.Holds());
  testbed.one.controller.Stop();
  cr_assert(!testbed.one.Holds());
  testbed.clock.Advance(kTickMs);
  testbed.one.scheduler.RunDue();
  cr_assert(testbed.one.scheduler.Idle());
}

Test(a_controller, reloads_models_that_an_engine_lost) {
  PlacementTestbed testbed(6);
  testbed.Run(60'000, {&testbed.one});
  FakePlacementEngine& engine = testbed.fleet.engines["e0"];
  engine.desired.models.clear();
  engine.state.models.clear();
  testbed.Run(60'000, {&testbed.one});
  cr_assert(engine.state.models.size() == 1);
}

Test(a_reclaimed_engine, is_replaced_once_after_a_delay) {
  PlacementTestbed testbed(6);
  testbed.source.needed = {{{"a", "", "1"}, 1}, {{"b", "", "1"}, 3}};
  testbed.Run(60'000, {&testbed.one});
  cr_assert(testbed.EnginesWith("a") == 2 && testbed.EnginesWith("b") == 4);
  const int before = testbed.one.client.orders_sent;
  for (const auto& [name, engine] : testbed.fleet.engines) {
    if (engine.state.models[0].model == "a" && testbed.dead.empty()) {
      testbed.dead = {name};
    }
  }
  testbed.Run(19'000, {&testbed.one});
  cr_assert(testbed.one.client.orders_sent == before);
  testbed.Run(60'000, {&testbed.one});
  cr_assert(testbed.one.client.orders_sent == before + 1);
  cr_assert(testbed.EnginesWith("a") == 3 && testbed.EnginesWith("b") == 3);
}

Test(an_overloaded_weight_store, pauses_further_loads) {
  PlacementTestbed testbed(6);
  for (auto& [name, engine] : testbed.fleet.engines) {
    engine.throttled = true;
  }
  while (testbed.one.client.orders_sent == 0) {
    testbed.Run(kTickMs, {&testbed.one});
  }
  testbed.Run(9'000, {&testbed.one});
  // Two orders, each sent twice.
  cr_assert(testbed.one.client.orders_sent == 4);
}

Test(an_overloaded_weight_store, gets_fewer_and_fewer_loads) {
  PlacementTestbed testbed(6);
  for (auto& [name, engine] : testbed.fleet.engines) {
    engine.throttled = true;
  }
  testbed.Run(300'000, {&testbed.one});
  const int early = testbed.one.client.orders_sent;
  testbed.Run(300'000, {&testbed.one});
  // Each order is resent every 5 s until it times out. New orders are limited
  // by the load budget, whose rate stays near its minimum.
  cr_assert(early <= 6 * 60);
  cr_assert(testbed.EnginesWith("a") == 0);
  for (auto& [name, engine] : testbed.fleet.engines) {
    engine.throttled = false;
  }
  testbed.Run(300'000, {&testbed.one});
  cr_assert(testbed.EnginesWith("a") == 3 && testbed.EnginesWith("b") == 3);
}

namespace paused_holder {

// Host "one" sends orders and is paused before they arrive. Host "two" takes
// over and has the engines load another model. Then the old orders arrive.
// Returns whether "two" had taken over before they arrived.
bool PauseAndTakeOver(PlacementTestbed& testbed) {
  while (testbed.one.client.PendingOrders() == 0) {
    testbed.clock.Advance(kTickMs);
    testbed.Report();
    testbed.one.controller.Tick();
    testbed.store.Settle();
  }
  testbed.source.needed = {{{"c", "", "1"}}};
  testbed.Run(90'000, {&testbed.two});
  const bool taken_over = testbed.two.Holds() && testbed.EnginesWith("c") == 2;
  testbed.one.client.DeliverAll();
  testbed.one.controller.Tick();
  testbed.store.Settle();
  return taken_over;
}

void SetEngineChecks(PlacementTestbed& testbed, bool fences, bool deadlines) {
  for (auto& [name, engine] : testbed.fleet.engines) {
    engine.checks_fence = fences;
    engine.checks_deadline = deadlines;
  }
}

bool AnyEngineOrdered(PlacementTestbed& testbed, std::string_view model) {
  return std::any_of(testbed.fleet.engines.begin(), testbed.fleet.engines.end(),
                     [model](const auto& entry) {
                       return entry.second.desired.models[0].model == model;
                     });
}

}  // namespace paused_holder

Test(a_resumed_holder, has_its_old_orders_refused_by_their_fence) {
  PlacementTestbed testbed(2);
  paused_holder::SetEngineChecks(testbed, true, false);
  cr_assert(paused_holder::PauseAndTakeOver(testbed));
  cr_assert(testbed.fleet.engines["e0"].refused > 0);
  cr_assert(!paused_holder::AnyEngineOrdered(testbed, "a") &&
            !testbed.one.Holds());
}

Test(a_resumed_holder, has_its_old_orders_refused_by_their_deadline) {
  PlacementTestbed testbed(2);
  paused_holder::SetEngineChecks(testbed, false, true);
  cr_assert(paused_holder::PauseAndTakeOver(testbed));
  cr_assert(testbed.fleet.engines["e0"].refused > 0);
  cr_assert(!paused_holder::AnyEngineOrdered(testbed, "a"));
}

Test(a_resumed_holder, has_its_old_orders_undone_where_engines_check_nothing) {
  PlacementTestbed testbed(2);
  paused_holder::SetEngineChecks(testbed, false, false);
  cr_assert(paused_holder::PauseAndTakeOver(testbed));
  // The old order was applied.
  cr_assert(paused_holder::AnyEngineOrdered(testbed, "a"));
  testbed.Run(60'000, {&testbed.one, &testbed.two});
  cr_assert(!paused_holder::AnyEngineOrdered(testbed, "a") &&
            !paused_holder::AnyEngineOrdered(testbed, "b"));
  cr_assert(testbed.EnginesWith("c") == 2);
}

Test(a_resumed_holder, sends_no_new_orders) {
  PlacementTestbed testbed(2);
  cr_assert(paused_holder::PauseAndTakeOver(testbed));
  const int sent = testbed.one.client.orders_sent;
  for (int turn = 0; turn < 20; ++turn) {
    testbed.one.controller.Tick();
    testbed.store.Settle();
  }
  cr_assert(testbed.one.client.orders_sent == sent);
}

namespace random_schedule {

// Runs two hosts with random pauses, lost messages and delayed writes. Checks
// that no host sends an order with a lower fencing token than one sent before.
void Run(unsigned seed, int& orders) {
  constexpr WriteFault kFaults[] = {WriteFault::kNone, WriteFault::kAnswerLost,
                                    WriteFault::kRequestLost,
                                    WriteFault::kDelayed};
  std::mt19937 random(seed);
  PlacementTestbed testbed(6);
  PlacementTestHost* const hosts[] = {&testbed.one, &testbed.two};
  for (int step = 0; step < 3'000; ++step) {
    PlacementTestHost& host = *hosts[random() % 2];
    testbed.clock.Advance(random() % 60 == 0 ? 19'000 : kTickMs);
    testbed.Report();
    host.controller.Tick();
    if (random() % 10 == 0) {
      testbed.store.FailWrites({kFaults[random() % 4]});
      testbed.store.ReleaseDelayed();
      host.client.faults.push_back(static_cast<OrderFault>(random() % 3));
    }
    while (random() % 4 != 0) {
      testbed.store.Step();
      host.client.DeliverNext();
    }
    if (random() % 100 == 0) {
      FakePlacementEngine& engine =
          testbed.fleet.engines["e" + std::to_string(random() % 6)];
      engine.desired.models.clear();
    }
  }
  const std::vector<std::int64_t>& sent = testbed.fleet.sent_fences;
  cr_assert(std::is_sorted(sent.begin(), sent.end()), "seed %u", seed);
  orders += static_cast<int>(sent.size());
}

}  // namespace random_schedule

Test(racing_controllers, never_send_a_fence_lower_than_one_sent_before) {
  int orders = 0;
  for (unsigned seed = 1; seed <= 100; ++seed) {
    random_schedule::Run(seed, orders);
  }
  cr_assert(orders > 1'000, "%d orders", orders);
}

}  // namespace
}  // namespace meadowthread
