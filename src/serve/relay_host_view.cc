// How a relay host applies changes that it reads from the store or gets from
// peers.
#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/log_line.h"
#include "serve/detail/relay_host_impl.h"
#include "serve/engine_listing.h"
#include "serve/watcher_selection.h"
#include "store/store_revision.h"

namespace meadowthread {
namespace {

// All requests at a removed engine have ended after this time, as none may last
// longer.
constexpr std::int64_t kLastRequestsEndMs = 60'000;
// Hosts write their entries again within this time after the store has come
// back, spread over it.
constexpr std::int64_t kRewriteSpreadMs = 2'000;
// How many of the hosts that watch the store also watch the emptied zones.
// Hosts whose reads fail do not count, and others take their place.
constexpr int kZoneWatchers = 3;

}  // namespace

void RelayHost::Impl::ApplyViewChange(const ViewChange& change) {
  const RelayObjectKinds& names = this->platform.Kinds();
  for (const StoredObject& object : change.items) {
    if (change.kind == names.routing_config &&
        object.name == names.routing_config_name) {
      this->ApplyRoutingConfig(object);
    } else if (change.kind == names.backends) {
      this->ApplyBackendEntry(object);
    } else if (change.kind == names.emptied_zones) {
      this->backends.SetZoneEmptied(object.name, !object.deleted);
    } else if (change.kind == names.rollouts) {
      this->ApplyRollout(object);
    }
  }
}

// The store has come back from an older copy. Entries that the servers wrote
// meanwhile are missing or expire, though the servers live, and what this host
// had written is gone.
void RelayHost::Impl::OnViewEra(std::string_view kind) {
  const RelayObjectKinds& names = this->platform.Kinds();
  if (kind == names.backends) {
    this->store_outages.RecordRestore(this->clock.MonotonicMs());
  } else if (kind == names.hosts) {
    this->host_registry.CheckAfter(static_cast<std::int64_t>(
        this->random() % static_cast<std::uint64_t>(kRewriteSpreadMs)));
  } else if (kind == names.quarantine) {
    this->crash_records.WriteMissing();
  }
}

// Whether all objects of the kind were read, by this host or a peer.
bool RelayHost::Impl::IsLoaded(std::string_view kind) const {
  return !this->view.Digest(kind).confirmed.by.empty();
}

bool RelayHost::Impl::HandlesRollouts() const {
  return this->settings.rollouts.max_bad_share > 0.0;
}

// The configuration is applied only once the emptied zones and the rollouts are
// known: a host that served earlier would send requests to emptied zones, or
// too many to a version on trial.
bool RelayHost::Impl::MayServe() const {
  const RelayObjectKinds& names = this->platform.Kinds();
  return this->IsLoaded(names.emptied_zones) &&
         (!this->HandlesRollouts() || this->IsLoaded(names.rollouts));
}

void RelayHost::Impl::ApplyPendingConfig() {
  const RelayObjectKinds& names = this->platform.Kinds();
  if (this->may_serve || !this->MayServe()) {
    return;
  }
  this->may_serve = true;
  const StoredObject* const object =
      this->view.Find(names.routing_config, names.routing_config_name);
  if (object != nullptr && this->routing_config.Config() == nullptr) {
    this->ApplyRoutingConfig(*object);
  }
}

// An invalid configuration is reported and ignored; the previous one stays in
// force.
void RelayHost::Impl::ApplyRoutingConfig(const StoredObject& object) {
  if (!this->MayServe()) {
    return;
  }
  absl::StatusOr<RoutingConfig> read =
      object.deleted ? absl::StatusOr<RoutingConfig>(
                           absl::NotFoundError("the configuration was removed"))
                     : this->platform.ReadRoutingConfig(object.value);
  this->ReportReadResult(object, read.status());
  if (read.ok()) {
    this->routing_config.Activate(*std::move(read), object.version);
  }
}

void RelayHost::Impl::ReportReadResult(const StoredObject& object,
                                       const absl::Status& read) {
  if (read.ok()) {
    this->invalid_entries.Clear(object.kind, object.name);
  } else {
    this->invalid_entries.Report(object.kind, object.name, object.version,
                                 read);
  }
}

// An invalid entry does not mean that the engine it described before is gone;
// only a removal does.
void RelayHost::Impl::ApplyBackendEntry(const StoredObject& object) {
  if (object.deleted) {
    this->invalid_entries.Clear(object.kind, object.name);
    if (this->backends.Remove(object.name)) {
      this->store_uptimes.AskPeers(
          [this] { return this->backends.HasEntryInGrace(); });
    }
    return;
  }
  absl::StatusOr<BackendEntry> entry =
      this->platform.ReadBackendEntry(object.name, object.value);
  this->ReportReadResult(object, entry.status());
  if (entry.ok()) {
    entry->era = EraOf(object.version);
  }
  if (entry.ok() && !this->ChangesToUnknownService(*entry)) {
    this->backends.Set(*entry);
  } else {
    this->backends.MarkEntryInvalid(object.name);
  }
}

// An invalid order is reported and ignored; the one before stays in force.
void RelayHost::Impl::ApplyRollout(const StoredObject& object) {
  if (object.deleted) {
    this->invalid_entries.Clear(object.kind, object.name);
    this->rollouts.Remove(object.name);
    return;
  }
  const absl::StatusOr<Rollout> rollout =
      this->platform.ReadRollout(object.name, object.value);
  this->ReportReadResult(object, rollout.status());
  if (rollout.ok()) {
    this->rollouts.SetRollout(*rollout, object.version);
  }
}

bool RelayHost::Impl::AreOthersIdle(std::string_view service,
                                    std::string_view target_version) const {
  return this->relay.IsIdleExceptAt(service, target_version);
}

std::vector<std::string> RelayHost::Impl::OtherVersions(
    std::string_view service, std::string_view target_version) const {
  std::vector<std::string> versions;
  for (const Backend* const backend : this->backends.All()) {
    const std::string& version = backend->entry.version;
    if (backend->entry.service == service && version != target_version &&
        std::find(versions.begin(), versions.end(), version) ==
            versions.end()) {
      versions.push_back(version);
    }
  }
  return versions;
}

void RelayHost::Impl::Restrict(std::string_view service,
                               const VersionRestrictions& restrictions) {
  this->backends.SetExcludedVersions(service, restrictions.excluded);
  if (restrictions.moves_to.has_value()) {
    this->relay.MoveToVersion(service, *restrictions.moves_to);
  }
}

std::vector<std::string> RelayHost::Impl::HostNames() const {
  std::vector<std::string> names;
  for (const HostEntry* const host : this->hosts.OfRole(HostRole::kEntry)) {
    names.push_back(host->name);
  }
  if (std::find(names.begin(), names.end(), this->settings.host.name) ==
      names.end()) {
    names.push_back(this->settings.host.name);
  }
  return names;
}

// An entry that names an unknown service is valid and kept, as it may arrive
// before the configuration that has the service. But an engine in use must not
// change to a service that is not configured, as its runs are tracked under the
// previous one.
bool RelayHost::Impl::ChangesToUnknownService(const BackendEntry& entry) const {
  const Backend* const known = this->backends.FindById(entry.id);
  return known != nullptr && known->entry.service != entry.service &&
         this->routing_config.FindService(entry.service) == nullptr;
}

// Applies invalid entries again, as the services that they name may be
// configured now.
void RelayHost::Impl::RetryInvalidBackends() {
  std::vector<std::string> invalid_ids;
  for (const Backend* const backend : this->backends.All()) {
    if (!backend->entry_valid) {
      invalid_ids.push_back(backend->entry.id);
    }
  }
  for (const std::string& id : invalid_ids) {
    if (const StoredObject* const object =
            this->view.Find(this->kinds[1], id)) {
      this->ApplyBackendEntry(*object);
    }
  }
}

void RelayHost::Impl::OnBackendChange(BackendChange change,
                                      const Backend& backend) {
  this->path.SetServers(this->backends.Count());
  if (change == BackendChange::kGone) {
    this->path.Forget(backend.entry.address);
    this->quarantine.NoteGone(backend.key);
    if (backend.started_again) {
      this->relay.OnEngineStartedAgain(backend);
      this->client.CloseIdle(backend.entry.address);
    }
    this->fleet.RemoveEngine(backend.key);
    this->rate_limiter.Remove(backend.key);
    this->permits.Remove(backend.key);
    this->backoffs.Remove(backend.key);
    this->health.Forget(backend.key);
    // Requests that are still running at the server create its health record
    // again when they end, so the record is removed once more after the last of
    // them.
    this->scheduler.After(kLastRequestsEndMs, [this, key = backend.key] {
      this->health.Forget(key);
    });
    return;
  }
  this->rate_limiter.SetServer(backend.key, this->RateLimitOf(backend),
                               backend.warm_at_ms);
  const EngineListing listing = MakeEngineListing(
      backend, this->routing_config.FindService(backend.entry.service),
      this->clock);
  if (!listing.models.empty()) {
    this->fleet.SetEngine(listing, this->clock.WallMs());
  } else {
    this->fleet.RemoveEngine(backend.key);
  }
  if (change == BackendChange::kLeaving) {
    if (!backend.listed) {
      this->quarantine.NoteGone(backend.key);
    }
    if (backend.reported_leaving) {
      this->notices.TellLeaving(backend.key);
    }
    this->relay.OnEngineLeaves(backend);
  }
}

// Engines are limited also while they are warm, as they may become cold before
// this host learns of it. They normally get fewer requests per second than a
// cold engine tolerates, so the limit does not affect normal operation. Plain
// servers get more, so they are limited only while they are known to be cold.
ServerRateLimit RelayHost::Impl::RateLimitOf(const Backend& backend) const {
  const ServiceRule* const service =
      this->routing_config.FindService(backend.entry.service);
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

void RelayHost::Impl::DivideRateLimits() {
  if (!this->IsLoaded(this->platform.Kinds().hosts)) {
    return;
  }
  this->rate_limiter.SetHosts(this->SharingHosts());
  this->rate_limits_divided = true;
}

// The hosts that servers' rate limits are divided among.
std::vector<std::string> RelayHost::Impl::SharingHosts() const {
  std::vector<std::string> names;
  for (const HostEntry* const host : this->hosts.OfRole(HostRole::kEntry)) {
    names.push_back(host->name);
  }
  return names;
}

// Requests restricted to a region that no zone belongs to are rejected. The log
// line shows that this is probably a configuration error.
void RelayHost::Impl::LogUnknownRegions(const RoutingConfig& in_force) const {
  const auto check = [this](std::string_view what, const std::string& name,
                            const std::vector<std::string>& allowed_regions) {
    for (const std::string& region : allowed_regions) {
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

// The other entry hosts that are reachable.
std::vector<WatchPeer> RelayHost::Impl::AnsweringPeers() const {
  std::vector<WatchPeer> answering;
  for (const HostEntry* const host : this->hosts.OfRole(HostRole::kEntry)) {
    if (host->name != this->settings.host.name &&
        this->exchange.IsReachable(host->name)) {
      answering.push_back(
          {host->name, !this->store_stalls.IsStalledFor(host->name)});
    }
  }
  return answering;
}

// This host's index among the hosts that watch the store; nullopt if it does
// not.
std::optional<int> RelayHost::Impl::WatchIndex() const {
  return WatcherIndex(this->settings.host.name, this->AnsweringPeers(),
                      this->hosts.OfRole(HostRole::kEntry).size());
}

std::vector<std::string> RelayHost::Impl::OtherStoreReaders() const {
  return StoreReaders(this->AnsweringPeers());
}

// A host that no peer answers reads the store itself.
bool RelayHost::Impl::IsWatcher() const {
  return this->exchange.PeersAlive() == 0 || this->WatchIndex().has_value();
}

// Zones are emptied rarely, so only a few hosts watch this kind and pass
// changes on.
bool RelayHost::Impl::IsZoneWatcher() const {
  return this->exchange.PeersAlive() == 0 ||
         this->WatchIndex().value_or(kZoneWatchers) < kZoneWatchers;
}

// The kinds whose changes must be in force everywhere within seconds.
std::vector<std::string> RelayHost::Impl::UrgentKinds(
    const RelayObjectKinds& kinds) {
  return {kinds.backends, kinds.routing_config, kinds.emptied_zones,
          kinds.rollouts};
}

WatchDuties RelayHost::Impl::MakeWatchDuties() {
  WatchDuties duties;
  duties.is_watcher = [this] { return this->IsWatcher(); };
  duties.recipients = [this] {
    return HeartbeatRecipients(this->settings.host.name, this->AnsweringPeers(),
                               this->hosts.OfRole(HostRole::kEntry).size());
  };
  duties.payload = [this] { return this->store_uptimes.OwnUptime(); };
  duties.read_store = [this] {
    for (const std::string& kind : UrgentKinds(this->platform.Kinds())) {
      this->feeder.RequestRead(kind);
    }
  };
  return duties;
}

std::int64_t RelayHost::Impl::StaggerMs() const {
  return this->settings.policy.staggers_watches
             ? WatchStaggerMs(this->WatchIndex().value_or(0))
             : 0;
}

void RelayHost::Impl::ApplyHosts(const std::vector<EntryHost>& known) {
  HostList list;
  list.as_of_unix_ms = this->clock.WallMs();
  std::vector<DatagramPeer> loads;
  this->forward_peers.clear();
  for (const EntryHost& host : known) {
    HostEntry entry;
    entry.name = host.name;
    entry.role = HostRole::kEntry;
    entry.address = host.address;
    entry.control_port = host.control_port;
    entry.zone = host.zone;
    entry.region = host.region;
    list.hosts.push_back(std::move(entry));
    if (host.name != this->settings.host.name && host.forward_port > 0 &&
        !host.forward_key.empty() &&
        host.region == this->settings.host.region) {
      this->forward_peers.push_back({host.name, host.address, host.forward_port,
                                     host.zone, host.forward_key});
    }
    loads.push_back(
        {host.name, host.address, static_cast<std::uint16_t>(host.loads_port)});
  }
  this->hosts.Apply(list);
  this->DivideRateLimits();
  this->dead_hosts.SetKnown(known);
  this->hub.SetPeers(loads);
  this->budgets.SetHosts(static_cast<int>(known.size()));
}

}  // namespace meadowthread
