#include "serve/placement_duty.h"

#include <map>

namespace meadowthread {
namespace {

// Engines don't say how many models they can hold; the users' engines hold one
// model with a few adapters.
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

PlacementDuty::PlacementDuty(const Settings& settings, std::int64_t incarnation,
                             const PlacementDutyParts& parts)
    : enabled(settings.placement.enabled),
      stale_limit_ms(settings.configuration.stale_limit_ms),
      parts(parts),
      controller(settings.half.name,
                 MakeControllerSettings(settings, incarnation),
                 {parts.store, parts.client, parts.clock, this->nonces,
                  parts.ownership, *this},
                 parts.scheduler) {}

void PlacementDuty::Start() {
  if (this->enabled) {
    this->controller.Start();
  }
}

void PlacementDuty::Stop() {
  if (this->enabled) {
    this->controller.Stop();
  }
}

std::vector<NeededModel> PlacementDuty::NeededModels() {
  std::map<ServedModel, NeededModel> needed;
  for (const ServedModel& model : this->parts.catalog.Models()) {
    needed[model] = {model, 0.0, false};
  }
  for (const std::string& workspace : this->parts.catalog.Workspaces()) {
    for (const ServiceCatalog::ServicePtr& service :
         this->parts.catalog.ServicesOf(workspace)) {
      for (const ServedModel& model : service->models) {
        NeededModel& entry = needed[model];
        entry.key = model;
        entry.weight += service->weight;
        entry.urgent = entry.urgent || service->urgency == Urgency::kUrgent;
      }
    }
  }
  std::vector<NeededModel> list;
  list.reserve(needed.size());
  for (const auto& [key, model] : needed) {
    list.push_back(model);
  }
  return list;
}

bool PlacementDuty::NeededModelsAreFresh() {
  const std::int64_t age = this->parts.gate.ViewAgeMs();
  return age >= 0 && age <= this->stale_limit_ms;
}

std::span<const ListedEngine> PlacementDuty::Engines() {
  this->listed.clear();
  for (const HostEntry* entry : this->parts.hosts.OfRole(HostRole::kEngine)) {
    ListedEngine engine;
    engine.name = entry->name;
    engine.base_url = entry->BaseUrl();
    engine.zone = entry->zone;
    engine.leaving = this->parts.gate.IsMarked(entry->name);
    engine.capacity = kModelsPerEngine;
    const LoadReport* report = this->parts.engines.ReportOf(entry->name);
    if (report != nullptr) {
      engine.report = *report;
    }
    this->listed.push_back(std::move(engine));
  }
  return this->listed;
}

std::span<const std::string> PlacementDuty::LiveHosts() {
  this->live_hosts = this->parts.gate.LiveEntryHosts();
  return this->live_hosts;
}

}  // namespace meadowthread
