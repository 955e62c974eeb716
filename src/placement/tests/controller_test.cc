#include "placement/controller.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

#include "placement/tests/controller_fixture.h"

namespace meadowthread {
namespace {

Test(a_controller, loads_what_the_templates_need) {
  PlacementScene scene(6);
  scene.Run(30'000, {&scene.one, &scene.two});
  cr_assert(scene.Loaded("a") == 3 && scene.Loaded("b") == 3);
  cr_assert(scene.one.Holds() != scene.two.Holds());
  cr_assert(scene.one.client.orders_sent + scene.two.client.orders_sent == 6);
}

Test(a_controller, runs_on_its_scheduler_until_it_is_stopped) {
  PlacementScene scene(1);
  scene.one.controller.Start();
  for (int turn = 0; turn < 40; ++turn) {
    scene.clock.Advance(kTickMs);
    scene.one.scheduler.RunDue();
    scene.store.Settle();
  }
  cr_assert(scene.one.Holds());
  scene.one.controller.Stop();
  cr_assert(!scene.one.Holds());
  scene.clock.Advance(kTickMs);
  scene.one.scheduler.RunDue();
  cr_assert(scene.one.scheduler.Idle());
}

Test(a_controller, brings_back_what_an_engine_lost) {
  PlacementScene scene(6);
  scene.Run(60'000, {&scene.one});
  FakeEngine& engine = scene.fleet.engines["e0"];
  engine.wanted.models.clear();
  engine.state.models.clear();
  scene.Run(60'000, {&scene.one});
  cr_assert(engine.state.models.size() == 1);
}

Test(a_reclaimed_engine, is_replaced_once_and_not_at_once) {
  PlacementScene scene(6);
  scene.source.needed = {{{"a", "", "1"}, 1}, {{"b", "", "1"}, 3}};
  scene.Run(60'000, {&scene.one});
  cr_assert(scene.Loaded("a") == 2 && scene.Loaded("b") == 4);
  const int before = scene.one.client.orders_sent;
  for (const auto& [name, engine] : scene.fleet.engines) {
    if (engine.state.models[0].model == "a" && scene.dead.empty()) {
      scene.dead = {name};
    }
  }
  scene.Run(19'000, {&scene.one});
  cr_assert(scene.one.client.orders_sent == before);
  scene.Run(60'000, {&scene.one});
  cr_assert(scene.one.client.orders_sent == before + 1);
  cr_assert(scene.Loaded("a") == 3 && scene.Loaded("b") == 3);
}

Test(a_weight_store_that_refuses, holds_up_the_next_load) {
  PlacementScene scene(6);
  for (auto& [name, engine] : scene.fleet.engines) {
    engine.throttled = true;
  }
  while (scene.one.client.orders_sent == 0) {
    scene.Run(kTickMs, {&scene.one});
  }
  scene.Run(9'000, {&scene.one});
  cr_assert(scene.one.client.orders_sent == 4);  // two, each once again
}

Test(a_weight_store_that_refuses, is_asked_less_and_less) {
  PlacementScene scene(6);
  for (auto& [name, engine] : scene.fleet.engines) {
    engine.throttled = true;
  }
  scene.Run(300'000, {&scene.one});
  const int early = scene.one.client.orders_sent;
  scene.Run(300'000, {&scene.one});
  // Each order is asked again every five seconds until given up; new ones come
  // from the budget alone, which stays near its lowest rate.
  cr_assert(early <= 6 * 60);
  cr_assert(scene.Loaded("a") == 0);
  for (auto& [name, engine] : scene.fleet.engines) {
    engine.throttled = false;
  }
  scene.Run(300'000, {&scene.one});
  cr_assert(scene.Loaded("a") == 3 && scene.Loaded("b") == 3);
}

namespace woken {

// "one" orders, its orders are held up on the way, it sleeps; "two" takes over
// and brings the engines to another state; then the old orders arrive.
// Returns whether it came to that.
bool HandOver(PlacementScene& scene) {
  while (scene.one.client.OrdersWaiting() == 0) {
    scene.clock.Advance(kTickMs);
    scene.Report();
    scene.one.controller.Tick();
    scene.store.Settle();
  }
  scene.source.needed = {{{"c", "", "1"}}};
  scene.Run(90'000, {&scene.two});
  const bool taken_over = scene.two.Holds() && scene.Loaded("c") == 2;
  scene.one.client.Settle();
  scene.one.controller.Tick();
  scene.store.Settle();
  return taken_over;
}

void DoNotCheck(PlacementScene& scene, bool fences, bool deadlines) {
  for (auto& [name, engine] : scene.fleet.engines) {
    engine.checks_fence = fences;
    engine.checks_deadline = deadlines;
  }
}

bool AnyWants(PlacementScene& scene, std::string_view model) {
  return std::any_of(scene.fleet.engines.begin(), scene.fleet.engines.end(),
                     [model](const auto& entry) {
                       return entry.second.wanted.models[0].model == model;
                     });
}

}  // namespace woken

Test(a_holder_that_wakes, finds_its_old_orders_refused_by_their_fence) {
  PlacementScene scene(2);
  woken::DoNotCheck(scene, true, false);
  cr_assert(woken::HandOver(scene));
  cr_assert(scene.fleet.engines["e0"].refused > 0);
  cr_assert(!woken::AnyWants(scene, "a") && !scene.one.Holds());
}

Test(a_holder_that_wakes, finds_its_old_orders_refused_by_their_deadline) {
  PlacementScene scene(2);
  woken::DoNotCheck(scene, false, true);
  cr_assert(woken::HandOver(scene));
  cr_assert(scene.fleet.engines["e0"].refused > 0);
  cr_assert(!woken::AnyWants(scene, "a"));
}

Test(a_holder_that_wakes, is_repaired_where_the_engine_checks_nothing) {
  PlacementScene scene(2);
  woken::DoNotCheck(scene, false, false);
  cr_assert(woken::HandOver(scene));
  cr_assert(woken::AnyWants(scene, "a"));  // what cannot be excluded
  scene.Run(60'000, {&scene.one, &scene.two});
  cr_assert(!woken::AnyWants(scene, "a") && !woken::AnyWants(scene, "b"));
  cr_assert(scene.Loaded("c") == 2);
}

Test(a_holder_that_wakes, sends_nothing_of_its_own) {
  PlacementScene scene(2);
  cr_assert(woken::HandOver(scene));
  const int sent = scene.one.client.orders_sent;
  for (int turn = 0; turn < 20; ++turn) {
    scene.one.controller.Tick();
    scene.store.Settle();
  }
  cr_assert(scene.one.client.orders_sent == sent);
}

namespace racing {

// Random sleeps, losses and answers out of turn among two hosts. A fence that
// leaves a host is never lower than one that left before.
void Run(unsigned seed, int& orders) {
  constexpr WriteFault kFaults[] = {WriteFault::kNone, WriteFault::kAnswerLost,
                                    WriteFault::kRequestLost,
                                    WriteFault::kDelayed};
  std::mt19937 random(seed);
  PlacementScene scene(6);
  PlacementHost* const hosts[] = {&scene.one, &scene.two};
  for (int step = 0; step < 3'000; ++step) {
    PlacementHost& host = *hosts[random() % 2];
    scene.clock.Advance(random() % 60 == 0 ? 19'000 : kTickMs);
    scene.Report();
    host.controller.Tick();
    if (random() % 10 == 0) {
      scene.store.FailWrites({kFaults[random() % 4]});
      scene.store.ReleaseDelayed();
      host.client.faults.push_back(static_cast<OrderFault>(random() % 3));
    }
    while (random() % 4 != 0) {
      scene.store.Step();
      host.client.Step();
    }
    if (random() % 100 == 0) {
      FakeEngine& engine =
          scene.fleet.engines["e" + std::to_string(random() % 6)];
      engine.wanted.models.clear();
    }
  }
  const std::vector<std::int64_t>& sent = scene.fleet.sent_fences;
  cr_assert(std::is_sorted(sent.begin(), sent.end()), "seed %u", seed);
  orders += static_cast<int>(sent.size());
}

}  // namespace racing

Test(racing_controllers, never_send_a_fence_lower_than_one_sent_before) {
  int orders = 0;
  for (unsigned seed = 1; seed <= 100; ++seed) {
    racing::Run(seed, orders);
  }
  cr_assert(orders > 1'000, "%d orders", orders);
}

}  // namespace
}  // namespace meadowthread
