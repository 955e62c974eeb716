#include "serve/placement_participant.h"

#include <map>

namespace meadowthread {
namespace {

// Engines do not report how many models they can load; a typical engine holds
// one model with a few adapters.
constexpr int kModelsPerEngine = 4;

PlacementControllerSettings MakeControllerSettings(const Settings& settings,
                                                   std::int64_t incarnation) {
  const PlacementSettings& with = settings.placement;
  PlacementControllerSettings controller;
  controller.groups = with.groups;
  controller.lease.holder = settings.host.name;
  controller.lease.incarnation = std::to_string(incarnation);
  controller.lease.ttl_ms = with.lease_ms;
  controller.lease.renew_every_ms = with.lease_ms / 3;
  controller.lease.order_window_ms = with.order_deadline_ms;
  controller.budget.loads_per_second = with.loads_per_second;
  return controller;
}

}  // namespace

PlacementParticipant::PlacementParticipant(
    const Settings& settings, std::int64_t incarnation,
    const PlacementDependencies& dependencies)
    : enabled(settings.placement.enabled),
      stale_limit_ms(settings.configuration.stale_limit_ms),
      dependencies(dependencies),
      controller(settings.half.name,
                 MakeControllerSettings(settings, incarnation),
                 {dependencies.store, dependencies.client, dependencies.clock,
                  this->nonces, dependencies.ownership, *this},
                 dependencies.scheduler) {}

void PlacementParticipant::Start() {
  if (this->enabled) {
    this->controller.Start();
  }
}

void PlacementParticipant::Stop() {
  if (this->enabled) {
    this->controller.Stop();
  }
}

std::vector<ModelDemand> PlacementParticipant::NeededModels() {
  std::map<ServedModel, ModelDemand> needed;
  for (const ServedModel& model : this->dependencies.catalog.Models()) {
    needed[model] = {model, 0.0, false};
  }
  for (const std::string& workspace : this->dependencies.catalog.Workspaces()) {
    for (const ServiceCatalog::ServicePtr& service :
         this->dependencies.catalog.ServicesOf(workspace)) {
      for (const ServedModel& model : service->models) {
        ModelDemand& entry = needed[model];
        entry.key = model;
        entry.weight += service->weight;
        entry.urgent = entry.urgent || service->urgency == Urgency::kUrgent;
      }
    }
  }
  std::vector<ModelDemand> list;
  list.reserve(needed.size());
  for (const auto& [key, model] : needed) {
    list.push_back(model);
  }
  return list;
}

bool PlacementParticipant::NeededModelsAreFresh() {
  const std::int64_t age = this->dependencies.gate.ViewAgeMs();
  return age >= 0 && age <= this->stale_limit_ms;
}

std::span<const ListedEngine> PlacementParticipant::Engines() {
  this->listed.clear();
  for (const HostEntry* entry :
       this->dependencies.hosts.OfRole(HostRole::kEngine)) {
    ListedEngine engine;
    engine.name = entry->name;
    engine.base_url = entry->BaseUrl();
    engine.zone = entry->zone;
    engine.leaving = this->dependencies.gate.IsMarked(entry->name);
    engine.capacity = kModelsPerEngine;
    const LoadReport* report = this->dependencies.engines.ReportOf(entry->name);
    if (report != nullptr) {
      engine.report = *report;
    }
    this->listed.push_back(std::move(engine));
  }
  return this->listed;
}

std::span<const std::string> PlacementParticipant::LiveHosts() {
  this->live_hosts = this->dependencies.gate.LiveEntryHosts();
  return this->live_hosts;
}

}  // namespace meadowthread
