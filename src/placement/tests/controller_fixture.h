#ifndef MEADOWTHREAD_PLACEMENT_TESTS_CONTROLLER_FIXTURE_H_
#define MEADOWTHREAD_PLACEMENT_TESTS_CONTROLLER_FIXTURE_H_

#include <algorithm>
#include <string>
#include <vector>

#include "base/manual_scheduler.h"
#include "placement/controller.h"
#include "placement/tests/fake_engine_client.h"
#include "placement/tests/lease_fixture.h"

namespace meadowthread {

inline constexpr std::int64_t kTickMs = 250;

/// @brief A placement source whose answers a test sets.
class FakePlacementSource final : public PlacementSource {
 public:
  std::vector<ModelDemand> NeededModels() override { return this->needed; }
  bool NeededModelsAreFresh() override { return true; }
  std::span<const ListedEngine> Engines() override { return this->listed; }
  std::span<const std::string> LiveHosts() override { return this->hosts; }

  std::vector<ModelDemand> needed;
  std::vector<ListedEngine> listed;
  std::vector<std::string> hosts = {"one", "two"};
};

inline OwnershipSettings OwnershipSettingsFor(std::string_view deployment) {
  OwnershipSettings settings;
  settings.deployment = std::string(deployment);
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

/// @brief One entry host: its controller, ownership view and HTTP client.
struct PlacementTestHost {
  PlacementTestHost(std::string_view name, std::string_view deployment,
                    MemoryStore& store, FakeEngineFleet& fleet,
                    ManualClock& clock, FakePlacementSource& source)
      : store(store),
        client(fleet, clock),
        nonces(name),
        view(OwnershipSettingsFor(deployment), clock),
        scheduler(&clock),
        controller(
            deployment, ControllerSettings(name),
            {store, this->client, clock, this->nonces, this->view, source},
            this->scheduler) {
    this->view.SetRegistered();
    this->view.ConfirmReadSince(clock.MonotonicMs() + 1);
  }

  bool Holds() { return !this->controller.Held().empty(); }

  /// @brief Lists the ownership objects; `store` delivers the answer later.
  void ReadOwnership() {
    this->store.List(kOwnershipKind, 0,
                     [this](const absl::StatusOr<ObjectList>& list) {
                       for (const StoredObject& object : list->items) {
                         this->view.Apply(object);
                       }
                     });
  }

  MemoryStore& store;
  FakeEngineClient client;
  SequentialNonceSource nonces;
  OwnershipView view;
  ManualScheduler scheduler;
  PlacementController controller;
};

/// @brief Engines and two hosts of one deployment, with a shared clock and
/// store.
struct PlacementTestbed {
  explicit PlacementTestbed(int engines) {
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

  /// @brief Completes the engines' loads that are due, and updates the load
  /// reports of the engines that are not dead. The reports lag behind the
  /// engines by up to one tick.
  void Report() {
    for (ListedEngine& listed : this->source.listed) {
      FakePlacementEngine& engine = this->fleet.engines[listed.name];
      const bool ready = this->clock.MonotonicMs() >= engine.ready_ms;
      if (ready && !engine.never_loads) {
        engine.state = engine.desired;
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

  /// @brief Advances the clock by `ms` in ticks. Only `hosts` run in this time,
  /// and only their calls are delivered.
  void Run(std::int64_t ms, const std::vector<PlacementTestHost*>& hosts) {
    for (std::int64_t passed = 0; passed < ms; passed += kTickMs) {
      this->clock.Advance(kTickMs);
      this->Report();
      for (PlacementTestHost* host : hosts) {
        host->controller.Tick();
        this->store.Settle();
        host->client.DeliverAll();
      }
    }
  }

  /// @brief The number of engines whose first loaded model is `model`.
  int EnginesWith(std::string_view model) {
    return static_cast<int>(
        std::count_if(this->fleet.engines.begin(), this->fleet.engines.end(),
                      [model](const auto& entry) {
                        const auto& models = entry.second.state.models;
                        return !models.empty() && models[0].model == model;
                      }));
  }

  MemoryStore store;
  ManualClock clock{1'000'000};
  FakeEngineFleet fleet;
  FakePlacementSource source;
  std::vector<std::string> dead;  ///< engines that no longer report
  PlacementTestHost one{"one", "lukot", store, fleet, clock, source};
  PlacementTestHost two{"two", "lukot", store, fleet, clock, source};
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_TESTS_CONTROLLER_FIXTURE_H_
