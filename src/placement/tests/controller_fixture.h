#ifndef MEADOWTHREAD_PLACEMENT_TESTS_CONTROLLER_FIXTURE_H_
#define MEADOWTHREAD_PLACEMENT_TESTS_CONTROLLER_FIXTURE_H_

#include <algorithm>
#include <string>
#include <vector>

#include "base/manual_scheduler.h"
#include "placement/controller.h"
#include "placement/tests/fake_engines.h"
#include "placement/tests/lease_fixture.h"

namespace meadowthread {

inline constexpr std::int64_t kTickMs = 250;

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

inline OwnershipSettings HalfNamed(std::string_view half) {
  OwnershipSettings settings;
  settings.half = std::string(half);
  settings.default_owner = "lukot";
  return settings;
}

inline PlacementControllerSettings ControllerSettings(std::string_view host) {
  PlacementControllerSettings settings;
  settings.lease.holder = std::string(host);
  settings.lease.incarnation = "1";
  settings.budget.loads_per_second = 2;
  settings.engines.load_timeout_ms = 30'000;
  settings.planner.max_changing_share = 1;
  return settings;
}

/// One entry host with its controller and its own way to the engines.
struct PlacementHost {
  PlacementHost(std::string_view name, std::string_view half,
                MemoryStore& in_store, FakeFleet& fleet, ManualClock& clock,
                FakeSource& source)
      : store(in_store),
        client(fleet, clock),
        nonces(name),
        view(HalfNamed(half), clock),
        scheduler(&clock),
        controller(
            half, ControllerSettings(name),
            {store, this->client, clock, this->nonces, this->view, source},
            this->scheduler) {
    this->view.SetRegistered();
    this->view.Confirm(clock.MonotonicMs() + 1);
  }

  bool Holds() { return !this->controller.Held().empty(); }

  /// Reads the ownership objects; the answer waits in the store.
  void LookAtOwnership() {
    this->store.List(kOwnershipKind, 0,
                     [this](const absl::StatusOr<ObjectList>& list) {
                       for (const StoredObject& object : list->items) {
                         this->view.Apply(object);
                       }
                     });
  }

  MemoryStore& store;
  FakeEngines client;
  CountingNonces nonces;
  OwnershipView view;
  ManualScheduler scheduler;
  PlacementController controller;
};

struct PlacementScene {
  explicit PlacementScene(int engines) {
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
  void Run(std::int64_t ms, const std::vector<PlacementHost*>& awake) {
    for (std::int64_t passed = 0; passed < ms; passed += kTickMs) {
      this->clock.Advance(kTickMs);
      this->Report();
      for (PlacementHost* host : awake) {
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
  PlacementHost one{"one", "lukot", store, fleet, clock, source};
  PlacementHost two{"two", "lukot", store, fleet, clock, source};
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_TESTS_CONTROLLER_FIXTURE_H_
