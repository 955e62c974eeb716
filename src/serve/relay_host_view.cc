// What the store and peers say, and what a relay host makes of it.
#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/log_line.h"
#include "serve/detail/relay_host_parts.h"
#include "serve/engine_listing.h"
#include "serve/watcher_choice.h"

namespace meadowthread {
namespace {

// Requests at an engine that is gone end within this: none may last longer.
constexpr std::int64_t kLastNotesMs = 60'000;
// Of the hosts that watch the store; those that it fails are replaced.
constexpr int kZoneWatchers = 3;

}  // namespace

void RelayHost::Parts::TakeView(const ViewChange& change) {
  const RelayKinds& names = this->platform.Kinds();
  for (const StoredObject& object : change.items) {
    if (change.kind == names.plan && object.name == names.plan_name) {
      this->TakePlan(object);
    } else if (change.kind == names.backends) {
      this->TakeBackend(object);
    } else if (change.kind == names.emptied_zones) {
      this->backends.SetZoneEmptied(object.name, !object.deleted);
    }
  }
}

// Whether the store, or a peer that heard of it, has told of the whole kind.
bool RelayHost::Parts::IsKnown(std::string_view kind) const {
  return !this->view.Digest(kind).confirmed.by.empty();
}

// A host that serves before it knows which zones are emptied would send there.
void RelayHost::Parts::TakeWaitingPlan() {
  const RelayKinds& names = this->platform.Kinds();
  if (this->zones_known || !this->IsKnown(names.emptied_zones)) {
    return;
  }
  this->zones_known = true;
  const StoredObject* const object =
      this->view.Find(names.plan, names.plan_name);
  if (object != nullptr && this->plan.Config() == nullptr) {
    this->TakePlan(*object);
  }
}

// A configuration that can't be read is reported and not put in force; the one
// before it stays.
void RelayHost::Parts::TakePlan(const StoredObject& object) {
  if (!this->IsKnown(this->platform.Kinds().emptied_zones)) {
    return;
  }
  absl::StatusOr<RoutingConfig> read =
      object.deleted
          ? absl::StatusOr<RoutingConfig>(absl::NotFoundError("it was removed"))
          : this->platform.ReadPlan(object.value);
  this->NoteRead(object, read.status());
  if (read.ok()) {
    this->plan.Activate(*std::move(read), object.version);
  }
}

void RelayHost::Parts::NoteRead(const StoredObject& object,
                                const absl::Status& read) {
  if (read.ok()) {
    this->refused.Forget(object.kind, object.name);
  } else {
    this->refused.Refuse(object.kind, object.name, object.version, read);
  }
}

// Whatever stands there now, the engine that it named before is not known to be
// gone: only a removal says so.
void RelayHost::Parts::TakeBackend(const StoredObject& object) {
  if (object.deleted) {
    this->refused.Forget(object.kind, object.name);
    if (this->backends.Remove(object.name)) {
      this->contact.Ask([this] { return this->backends.HasEntryInGrace(); });
    }
    return;
  }
  const absl::StatusOr<BackendEntry> entry =
      this->platform.ReadBackend(object.name, object.value);
  this->NoteRead(object, entry.status());
  if (entry.ok() && !this->IsOfUnknownService(*entry)) {
    this->backends.Set(*entry);
  } else {
    this->backends.MarkEntryInvalid(object.name);
  }
}

// Entries may come before the configuration that names their service, so that
// they are kept, and are no fault. But an engine in use keeps the service by
// which its runs are known.
bool RelayHost::Parts::IsOfUnknownService(const BackendEntry& entry) const {
  const Backend* const known = this->backends.FindById(entry.id);
  return known != nullptr && known->entry.service != entry.service &&
         this->plan.FindService(entry.service) == nullptr;
}

// The service that such an entry names may be configured now.
void RelayHost::Parts::TakeSetAsideAgain() {
  std::vector<std::string> set_aside;
  for (const Backend* const backend : this->backends.All()) {
    if (!backend->entry_valid) {
      set_aside.push_back(backend->entry.id);
    }
  }
  for (const std::string& id : set_aside) {
    if (const StoredObject* const object =
            this->view.Find(this->kinds[1], id)) {
      this->TakeBackend(*object);
    }
  }
}

void RelayHost::Parts::TakeBackendChange(BackendChange change,
                                         const Backend& backend) {
  if (change == BackendChange::kGone) {
    this->quarantine.NoteGone(backend.key);
    if (backend.started_again) {
      this->relay.OnEngineStartedAgain(backend);
      this->client.DropResting(backend.entry.address);
    }
    this->fleet.RemoveEngine(backend.key);
    this->arrivals.Remove(backend.key);
    this->health.Forget(backend.key);
    // What still ends there is noted under its key once more.
    this->scheduler.After(
        kLastNotesMs, [this, key = backend.key] { this->health.Forget(key); });
    return;
  }
  this->arrivals.SetServer(backend.key, this->ArrivalRuleOf(backend),
                           backend.warm_at_ms);
  const EngineListing listing = ListingOf(
      backend, this->plan.FindService(backend.entry.service), this->clock);
  if (!listing.models.empty()) {
    this->fleet.SetEngine(listing, this->clock.WallMs());
  } else {
    this->fleet.RemoveEngine(backend.key);
  }
  if (change == BackendChange::kLeaving) {
    if (!backend.listed) {
      this->quarantine.NoteGone(backend.key);
    }
    this->relay.OnEngineLeaves(backend);
  }
}

// Engines begin fewer requests a second than a cold one withstands; plain
// servers begin more, and are bound only while they are known to be cold.
ServerRateLimit RelayHost::Parts::ArrivalRuleOf(const Backend& backend) const {
  const ServiceRule* const service =
      this->plan.FindService(backend.entry.service);
  ServerRateLimit rule;
  if (service == nullptr) {
    return rule;
  }
  rule.cold_per_s = service->cold_per_s;
  if (service->engine.has_value() && this->settings.policy.guards_warm) {
    rule.warm_per_s = service->cold_per_s * this->settings.bounds.cold_over;
  }
  return rule;
}

void RelayHost::Parts::ShareArrivals() {
  if (!this->IsKnown(this->platform.Kinds().hosts)) {
    return;
  }
  std::vector<std::string> names;
  for (const HostEntry* const host : this->hosts.OfRole(HostRole::kEntry)) {
    names.push_back(host->name);
  }
  this->arrivals.SetHosts(names);
  this->arrivals_shared = true;
}

// Such requests are refused; that nobody meant it shows here.
void RelayHost::Parts::CheckHomes(const RoutingConfig& in_force) const {
  const auto check = [this](std::string_view what, const std::string& name,
                            const std::vector<std::string>& homes) {
    for (const std::string& region : homes) {
      const bool is_known = std::any_of(
          this->settings.regions.begin(), this->settings.regions.end(),
          [&region](const auto& zone) { return zone.second == region; });
      if (!is_known) {
        LogLine("home-unknown")
            .Add(what, name)
            .Add("region", region)
            .WriteImportant();
      }
    }
  };
  for (const RouteRule& route : in_force.routes) {
    check("route", route.name, route.home_regions);
  }
  for (const WorkspaceRule& workspace : in_force.workspaces) {
    check("workspace", workspace.name, workspace.home_regions);
  }
}

// The entry hosts that answer this one.
std::vector<WatchPeer> RelayHost::Parts::AnsweringPeers() const {
  std::vector<WatchPeer> answering;
  for (const HostEntry* const host : this->hosts.OfRole(HostRole::kEntry)) {
    if (host->name != this->settings.host.name &&
        this->exchange.Answers(host->name)) {
      answering.push_back({host->name, !this->silence.Fails(host->name)});
    }
  }
  return answering;
}

// Its place among the hosts that watch.
std::optional<int> RelayHost::Parts::WatchPlace() const {
  return WatchesStore(this->settings.host.name, this->AnsweringPeers(),
                      this->hosts.OfRole(HostRole::kEntry).size());
}

std::vector<std::string> RelayHost::Parts::OtherReaders() const {
  return StoreReaders(this->AnsweringPeers());
}

// A host that no peer answers reads for itself.
bool RelayHost::Parts::IsWatcher() const {
  return this->exchange.PeersAlive() == 0 || this->WatchPlace().has_value();
}

// Zones are emptied rarely: a few hosts see it and tell the others.
bool RelayHost::Parts::WatchesZones() const {
  return this->exchange.PeersAlive() == 0 ||
         this->WatchPlace().value_or(kZoneWatchers) < kZoneWatchers;
}

std::int64_t RelayHost::Parts::StaggerMs() const {
  return this->settings.policy.staggers_watches
             ? WatchStaggerMs(this->WatchPlace().value_or(0))
             : 0;
}

void RelayHost::Parts::TakeHosts(const std::vector<EntryHost>& known) {
  HostList list;
  list.as_of_unix_ms = this->clock.WallMs();
  std::vector<DatagramPeer> loads;
  for (const EntryHost& host : known) {
    HostEntry entry;
    entry.name = host.name;
    entry.role = HostRole::kEntry;
    entry.address = host.address;
    entry.control_port = host.control_port;
    entry.zone = host.zone;
    entry.region = host.region;
    list.hosts.push_back(std::move(entry));
    loads.push_back(
        {host.name, host.address, static_cast<std::uint16_t>(host.loads_port)});
  }
  this->hosts.Apply(list);
  this->ShareArrivals();
  this->gone_hosts.SetKnown(known);
  this->hub.SetPeers(loads);
  this->budgets.SetHosts(static_cast<int>(known.size()));
}

}  // namespace meadowthread
