#include "placement/controller.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

#include "base/manual_scheduler.h"
#include "placement/tests/fake_engines.h"
#include "placement/tests/lease_fixture.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kTickMs = 250;

class FakeSource final : public PlacementSource {
 public:
  std::vector<NeededModel> Needed() override { return this->needed; }
  bool NeededIsFresh() override { return true; }
  std::span<const ListedEngine> Engines() override { return this->listed; }
  std::span<const std::string> LiveHosts() override { return this->hosts; }

  std::vector<NeededModel> needed;
  std::vector<ListedEngine> listed;
  std::vector<std::string> hosts = {"one", "two"};
};

OwnershipSettings LukotHalf() {
  OwnershipSettings settings;
  settings.half = "lukot";
  settings.default_owner = "lukot";
  settings.freshness_ms = 1'000'000'000;  // its own tests are elsewhere
  return settings;
}

PlacementControllerSettings Settings(std::string_view host) {
  PlacementControllerSettings settings;
  settings.lease.holder = std::string(host);
  settings.lease.incarnation = "1";
  settings.budget.loads_per_second = 2;
  settings.engines.load_timeout_ms = 30'000;
  settings.planner.max_changing_share = 1;
  return settings;
}

/// One entry host with its controller and its own way to the engines.
struct Host {
  Host(std::string_view name, MemoryStore& store, FakeFleet& fleet,
       ManualClock& clock, FakeSource& source)
      : client(fleet, clock),
        nonces(name),
        view(LukotHalf(), clock),
        scheduler(&clock),
        controller(
            "lukot", Settings(name),
            {store, this->client, clock, this->nonces, this->view, source},
            this->scheduler) {
    this->view.Confirm(clock.MonotonicMs());
    this->view.SetRegistered();
  }

  bool Holds() { return !this->controller.Held().empty(); }

  FakeEngines client;
  CountingNonces nonces;
  OwnershipView view;
  ManualScheduler scheduler;
  PlacementController controller;
};

struct Scene {
  explicit Scene(int engines) {
    for (int index = 0; index < engines; ++index) {
      const std::string name = "e" + std::to_string(index);
      this->fleet.engines[name];
      ListedEngine listed;
      listed.name = name;
      listed.base_url = "http://" + name;
      listed.zone = "z" + std::to_string(index % 3);
      this->source.listed.push_back(listed);
    }
    this->source.needed = {{{"a", "", "1"}}, {{"b", "", "1"}}};
  }

  /// What load reports tell, lagging by up to a turn.
  void Report() {
    for (ListedEngine& listed : this->source.listed) {
      FakeEngine& engine = this->fleet.engines[listed.name];
      const bool ready = this->clock.MonotonicMs() >= engine.ready_ms;
      if (ready && !engine.never_loads) {
        engine.state = engine.wanted;
      }
      LoadReport report;
      report.as_of_unix_ms = this->clock.WallMs();
      report.role = engine.state.role;
      report.models = engine.state.models;
      report.kv_capacity = 1'000;
      if (!this->IsDead(listed.name)) {
        listed.report = report;
      }
    }
  }

  bool IsDead(const std::string& name) const {
    return std::find(this->dead.begin(), this->dead.end(), name) !=
           this->dead.end();
  }

  /// Time passes with these hosts awake and their calls delivered.
  void Run(std::int64_t ms, const std::vector<Host*>& awake) {
    for (std::int64_t passed = 0; passed < ms; passed += kTickMs) {
      this->clock.Advance(kTickMs);
      this->Report();
      for (Host* host : awake) {
        host->controller.Tick();
        this->store.Settle();
        host->client.Settle();
      }
    }
  }

  int Loaded(std::string_view model) {
    return static_cast<int>(
        std::count_if(this->fleet.engines.begin(), this->fleet.engines.end(),
                      [model](const auto& entry) {
                        const auto& models = entry.second.state.models;
                        return !models.empty() && models[0].model == model;
                      }));
  }

  MemoryStore store;
  ManualClock clock{1'000'000};
  FakeFleet fleet;
  FakeSource source;
  std::vector<std::string> dead;
  Host one{"one", store, fleet, clock, source};
  Host two{"two", store, fleet, clock, source};
};

Test(a_controller, loads_what_the_templates_need) {
  Scene scene(6);
  scene.Run(30'000, {&scene.one, &scene.two});
  cr_assert(scene.Loaded("a") == 3 && scene.Loaded("b") == 3);
  cr_assert(scene.one.Holds() != scene.two.Holds());
  cr_assert(scene.one.client.orders_sent + scene.two.client.orders_sent == 6);
}

Test(a_controller, runs_on_its_scheduler_until_it_is_stopped) {
  Scene scene(1);
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
  Scene scene(6);
  scene.Run(60'000, {&scene.one});
  FakeEngine& engine = scene.fleet.engines["e0"];
  engine.wanted.models.clear();
  engine.state.models.clear();
  scene.Run(60'000, {&scene.one});
  cr_assert(engine.state.models.size() == 1);
}

Test(a_reclaimed_engine, is_replaced_once_and_not_at_once) {
  Scene scene(6);
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
  Scene scene(6);
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
  Scene scene(6);
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
bool HandOver(Scene& scene) {
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

void DoNotCheck(Scene& scene, bool fences, bool deadlines) {
  for (auto& [name, engine] : scene.fleet.engines) {
    engine.checks_fence = fences;
    engine.checks_deadline = deadlines;
  }
}

bool AnyWants(Scene& scene, std::string_view model) {
  return std::any_of(scene.fleet.engines.begin(), scene.fleet.engines.end(),
                     [model](const auto& entry) {
                       return entry.second.wanted.models[0].model == model;
                     });
}

}  // namespace woken

Test(a_holder_that_wakes, finds_its_old_orders_refused_by_their_fence) {
  Scene scene(2);
  woken::DoNotCheck(scene, true, false);
  cr_assert(woken::HandOver(scene));
  cr_assert(scene.fleet.engines["e0"].refused > 0);
  cr_assert(!woken::AnyWants(scene, "a") && !scene.one.Holds());
}

Test(a_holder_that_wakes, finds_its_old_orders_refused_by_their_deadline) {
  Scene scene(2);
  woken::DoNotCheck(scene, false, true);
  cr_assert(woken::HandOver(scene));
  cr_assert(scene.fleet.engines["e0"].refused > 0);
  cr_assert(!woken::AnyWants(scene, "a"));
}

Test(a_holder_that_wakes, is_repaired_where_the_engine_checks_nothing) {
  Scene scene(2);
  woken::DoNotCheck(scene, false, false);
  cr_assert(woken::HandOver(scene));
  cr_assert(woken::AnyWants(scene, "a"));  // what cannot be excluded
  scene.Run(60'000, {&scene.one, &scene.two});
  cr_assert(!woken::AnyWants(scene, "a") && !woken::AnyWants(scene, "b"));
  cr_assert(scene.Loaded("c") == 2);
}

Test(a_holder_that_wakes, sends_nothing_of_its_own) {
  Scene scene(2);
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
  Scene scene(6);
  Host* const hosts[] = {&scene.one, &scene.two};
  for (int step = 0; step < 3'000; ++step) {
    Host& host = *hosts[random() % 2];
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
