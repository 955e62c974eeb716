#include "serve/relay_host.h"

#include <QCoreApplication>
#include <algorithm>
#include <array>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/log_line.h"
#include "base/log_writer.h"
#include "policy/stop_retry_after.h"
#include "serve/detail/relay_host_impl.h"
#include "serve/feeder_options.h"
#include "serve/propagation_delays.h"
#include "serve/relay_limits.h"
#include "store/store_revision.h"

namespace meadowthread {
namespace {

constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::int64_t kRotatePeriodMs = 60'000;
// The part of a host's 29 KB per second for control traffic that the calls of
// the exchange leave for datagrams.
constexpr std::int64_t kDatagramBytesPerSecond = 18'000;
// A peer's load is ignored if it was not reported for this long. Peers report
// all of their load every three seconds; two reports may be lost.
constexpr std::int64_t kPeerLoadExpiryMs = 7'000;
// Interval at which the engines themselves are polled while the store cannot
// report changes. It is short, as a leaving engine stays for only about two
// seconds, and the state that it reports is up to half a second old.
constexpr std::int64_t kStallPollPeriodMs = 150;
constexpr std::int64_t kDrainPeriodMs = 20;
// The load balancer checks readiness every second and removes a host after two
// failed checks. Until then, a stopping host still gets new connections.
constexpr std::int64_t kBalancerRemovalMs = 2'400;
// Time from the exit of a process until its successor gets its first request.
// The successor reads the store and serves 0.2 to 0.3 s after its start.
constexpr std::int64_t kRestartMs = 400;
constexpr std::int64_t kMsPerSecond = 1'000;
// Other hosts' entries only improve performance, so their changes may be
// delayed. With the delay, the entries of a whole fleet that starts arrive in a
// single read.
WatcherOptions HostEntriesFeederOptions(WatcherOptions options) {
  options.wait_ms = 10'000;
  options.pace_ms = 500;
  // The duration of two watches, each with its wait time and answer margin.
  options.self_watch_ms = 22'000;
  return options;
}

// Crash records reach other hosts by gossip; the copy in the store is only for
// hosts that reach no other host, and for operators.
WatcherOptions QuarantineFeederOptions(WatcherOptions options) {
  options.wait_ms = 25'000;
  options.pace_ms = 500;
  // The duration of two watches, each with its wait time and answer margin.
  options.self_watch_ms = 52'000;
  return options;
}

StreamAdmissionOptions AdmissionOf(const RelayPolicySettings& policy) {
  return {policy.refuses_late, policy.lets_returned_wait,
          policy.spreads_returns};
}

PressureOptions PressureOf(const RelaySettings& settings) {
  PressureOptions options;
  options.zone = settings.host.zone;
  options.memory_limit = settings.policy.memory_limit;
  options.short_work_limit = settings.policy.short_work_limit;
  options.late_work_part = settings.policy.late_work_part;
  return options;
}

AllocationOptions AllocationOf(const RelaySettings& settings) {
  return {{settings.host.name, settings.host.zone},
          PressureOf(settings),
          static_cast<std::size_t>(settings.policy.direct_hosts)};
}

std::vector<KindWithOptions> FedKinds(
    const RelayObjectKinds& kinds, const WatcherOptions& options,
    bool with_rollouts, const std::function<std::int64_t()>& stagger_ms,
    const std::function<bool()>& is_zone_watcher) {
  WatcherOptions staggered = options;
  staggered.stagger_ms = stagger_ms;
  const WatcherOptions rare =
      EmptiedZonesFeederOptions(options.host, options.seed);
  std::vector<KindWithOptions> fed = {
      {kinds.routing_config, options},
      {kinds.backends, staggered, {}},
      {kinds.hosts, HostEntriesFeederOptions(options), {}},
      {kinds.quarantine, QuarantineFeederOptions(options), {}},
      {kinds.emptied_zones, rare, is_zone_watcher}};
  if (with_rollouts) {
    fed.push_back({kinds.rollouts, rare, is_zone_watcher});
  }
  return fed;
}

std::vector<std::string_view> KindsOf(const RelayObjectKinds& kinds,
                                      bool with_rollouts) {
  std::vector<std::string_view> all = {kinds.routing_config, kinds.backends,
                                       kinds.hosts, kinds.quarantine,
                                       kinds.emptied_zones};
  if (with_rollouts) {
    all.push_back(kinds.rollouts);
  }
  return all;
}

bool WithRollouts(const RelaySettings& settings) {
  return settings.rollouts.max_bad_share > 0.0;
}

RolloutLimits RolloutLimitsOf(const RelaySettings& settings) {
  return {settings.rollouts.max_bad_share, settings.rollouts.max_bad_requests};
}

Settings ExchangeSettingsOf(const RelaySettings& with) {
  Settings settings;
  settings.host = with.host;
  settings.exchange = with.exchange;
  return settings;
}

FleetRetryLimits RetryLimitsOf(const RelaySettings& settings) {
  return {settings.retries.per_request, settings.retries.extra};
}

}  // namespace

RelayHost::Impl::Impl(const RelaySettings& with, RelayPlatform& on)
    : settings(with),
      platform(on),
      routed_client({with.host.name, with.host.zone,
                     [this] { return this->FitForwardPeers(); },
                     [this](std::string_view address) {
                       return this->AcceptsRequests(address);
                     }},
                    this->client, this->path, this->clock, this->scheduler,
                    this->random),
      forward_key(MakeForwardKey()),
      store(on.MakeStore(this->store_client, with.store)),
      kinds(KindsOf(on.Kinds(), WithRollouts(with))),
      view(this->clock, this->kinds),
      feeder(FedKinds(
                 on.Kinds(), RelayFeederOptions(with.host.name, this->random()),
                 WithRollouts(with), [this] { return this->StaggerMs(); },
                 [this] { return this->IsZoneWatcher(); }),
             *this->store, this->view, this->scheduler, this->clock,
             [this] { return this->IsWatcher(); }),
      exchange(ExchangeSettingsOf(with), this->clock.WallMs(), this->clock,
               this->scheduler, this->view, this->hosts),
      host_registry(on.Kinds().hosts,
                    {with.host.name, with.host.address, with.host.control_port,
                     with.listen.loads_port, with.host.zone, with.host.region,
                     with.listen.loads_port, this->forward_key},
                    *this->store, this->view, this->scheduler),
      backends(this->clock, this->scheduler, this->store_outages),
      budgets(RetryLimitsOf(with)),
      invalid_entries(this->clock,
                      [this](std::string_view kind, std::string_view field) {
                        this->metrics.OnInvalidDocumentRead(kind, field);
                      }),
      // No slow start that is the same for all engines: an engine announces in
      // its entry for how long it is cold, and engines live for minutes only.
      fleet(this->lengths, FleetOptions{0, kPeerLoadExpiryMs,
                                        with.policy.measures_engine_speeds}),
      dead_hosts(with.host.name, this->clock),
      load_adapter(with.host.name, this->clock, this->fleet),
      hub(with.host.name, kDatagramBytesPerSecond, this->random(), this->clock),
      stop_datagrams(this->hub, this->clock, this->scheduler),
      store_stalls(this->hub, this->clock),
      store_uptimes(this->hub, this->clock, this->scheduler,
                    this->store_outages, this->random,
                    [this] { return this->OtherStoreReaders(); }),
      view_datagrams(
          UrgentKinds(on.Kinds()), this->view, this->hub, this->scheduler,
          [this](std::string_view kind) { this->feeder.RequestRead(kind); },
          [this](std::string_view kind) { this->exchange.PushSoon(kind); }),
      watch_heartbeats(this->MakeWatchDuties(), this->hub, this->clock,
                       this->scheduler),
      crash_check(this->path, this->listen_check, this->scheduler),
      path_prober(this->path, this->listen_check, this->scheduler, this->random,
                  [this] { return this->ServerAddresses(); }),
      quarantine(this->crash_check, this->clock, this->scheduler),
      rate_limiter(with.host.name),
      gossip(this->hub),
      permits(with.host.name, this->gossip, this->clock, this->scheduler,
              [this] { return this->PermitHosts(); }),
      notices(this->backoffs, this->gossip, this->clock,
              [this](std::string_view server) {
                this->backends.NoteLeaving(server, "another_host");
              }),
      crash_gossip(this->quarantine.RecordTable(), this->gossip, this->clock,
                   this->scheduler, this->random()),
      crash_records(on.Kinds().quarantine, StoredRecords::kQuarantined,
                    this->quarantine, *this->store, this->view, this->clock,
                    this->scheduler, this->random()),
      unreported_streams(kDatagramBytesPerSecond),
      chooser(PressureOf(with)),
      local_allocation(this->chooser, this->fleet, this->clock, this->random),
      allocation(AllocationOf(with),
                 {this->hub, this->fleet, this->local_allocation,
                  this->load_adapter, this->scheduler, this->clock,
                  this->rate_limiter, this->permits, this->random}),
      share_loans(with.host.name, this->rate_limiter, this->gossip, this->clock,
                  this->random, [this] { return this->SharingHosts(); }),
      borrowing_allocation(this->allocation.Allocation(), this->fleet,
                           this->share_loans),
      load_datagrams(this->hub, this->load_adapter, this->allocation,
                     this->allocation, this->clock, this->scheduler),
      dispatcher(this->fleet, this->chooser),
      admission(AdmissionOf(with.policy)),
      links(with.host.zone),
      rollout_store(on.MakeRolloutStatusStore(this->store_client, with.store)),
      rollouts(with.host.name, RolloutLimitsOf(with),
               {this->gossip, *this->rollout_store, *this, this->clock,
                this->scheduler, this->random}),
      control(on.MakeControl(this->routed_client)),
      relay(with.host.name,
            {this->clock, this->scheduler, this->routed_client, on.Backends(),
             this->backends, this->health, this->budgets, this->metrics,
             this->quarantine, this->rate_limiter, this->random, this->rollouts,
             this->permits, this->backoffs, this->stops, this->answer_memory},
            {this->borrowing_allocation, this->dispatcher, this->fleet,
             this->first_attempts, this->admission, this->links},
            *this->control, on.Callers(), this->routing_config),
      forward_service(this->ForwardOptions(), this->client, this->path,
                      this->scheduler),
      ready_service(on.ReadyPath(),
                    [this] {
                      return !this->stop_plan.has_value() &&
                             this->routing_config.Config() != nullptr;
                    }),
      metrics_service(kMetricsPath, [this] { return this->MetricsText(); }),
      server(&this->relay, ServerLimits{}),
      ready_server(&this->ready_service, ServerLimits{}),
      metrics_server(&this->metrics_service, ServerLimits{}),
      forward_server(&this->forward_service, ServerLimits{}) {
  if (with.policy.avoids_bad_links) {
    this->chooser.SetLinks(&this->links);
  }
  this->chooser.SetEngineFilter([this](const EngineView& view) {
    const std::int64_t now_ms = this->clock.MonotonicMs();
    return this->rate_limiter.May(view.engine, now_ms) &&
           this->backoffs.RemainingMs(view.engine, now_ms) <= 0 &&
           this->permits.ExhaustedForMs(view.engine, Urgency::kUrgent) <= 0;
  });
  this->backends.SetRegions(with.regions);
  this->ApplyConfiguration();
  this->view.AddListener(
      [this](const ViewChange& change) { this->ApplyViewChange(change); });
  this->view.AddEraListener(
      [this](std::string_view kind) { this->OnViewEra(kind); });
  this->routing_config.AddListener([this] { this->ApplyConfiguration(); });
  this->CheckPropagationDelays();
  this->backends.AddListener(
      [this](BackendChange change, const Backend& backend) {
        this->OnBackendChange(change, backend);
      });
  this->ConnectEngineKnowledge();
  this->host_registry.SetListener(
      [this](const std::vector<EntryHost>& known) { this->ApplyHosts(known); });
  this->host_registry.OnRead(
      [this](const StoredObject& object, const absl::Status& read) {
        this->ReportReadResult(object, read);
      });
  this->hub.SetSenderListener([this](std::string_view host) {
    this->dead_hosts.NoteHeard(host);
    this->allocation.NoteHeard(host);
    this->permits.NoteHeard(host);
  });
  this->gossip.Connect(this->crash_gossip);
  this->gossip.Connect(this->rollouts);
  this->gossip.Connect(this->permits);
  this->gossip.Connect(this->share_loans);
  this->gossip.Connect(this->notices);
  this->allocation.SetBackoffs(this->backoffs);
  this->quarantine.AddListener([this](const CrashRecord& quarantined) {
    this->relay.EndQuarantined(quarantined);
  });
  this->host_registry.OnKeyTaken([this](const std::string& key) {
    this->forward_key = key;
    this->forward_service.SetKey(key);
  });
  this->view_datagrams.Connect(this->hub);
  this->hub.Register(
      kWatchHeartbeatTopic,
      [this](std::string_view host, const nlohmann::json& uptime) {
        this->watch_heartbeats.NoteHeard();
        this->store_uptimes.RecordUptime(host, uptime);
      });
  this->exchange.ExcludeFromImmediatePush(on.Kinds().backends);
  this->exchange.ExcludeFromImmediatePush(on.Kinds().routing_config);
  this->feeder.OnAnswered(
      [this] { this->store_outages.RecordAnswer(this->clock.MonotonicMs()); });
  this->store_uptimes.OnPeerUptime(
      [this] { this->backends.ReviewGracePeriods(); });
}

// What this host learns of engines by its own requests goes to its choices of
// engines and to the other hosts.
void RelayHost::Impl::ConnectEngineKnowledge() {
  this->health.SetListener([this](const HealthUpdate& news) {
    this->fleet.SetFailureShare(news.id, news.failure_share);
    this->fleet.MarkUnreachable(news.id,
                                this->clock.WallMs() + news.backoff_ms);
    if (!news.from_peer) {
      this->ReportAttempt(news);
    }
  });
  this->allocation.OnAttempt([this](const EngineAttempt& attempt) {
    if (const std::optional<AttemptResult> result =
            AttemptResultOf(attempt.result)) {
      this->health.RecordPeerAttempt(attempt.engine, *result,
                                     this->clock.MonotonicMs());
    }
  });
  this->fleet.OnPrefillObserved([this](const PrefillObservation& seen) {
    this->allocation.ReportPrefill(seen);
  });
  this->fleet.OnSpeedObserved([this](const SpeedObservation& seen) {
    this->allocation.ReportSpeed(seen);
  });
  this->fleet.OnCapacityFreed([this](std::string_view engine) {
    this->load_datagrams.SendFreed(this->load_adapter.NoteAt(engine));
  });
  this->allocation.SetLoadReporter(
      [this] { this->load_datagrams.SendAllSoon(); });
}

void RelayHost::Impl::CheckPropagationDelays() const {
  const PropagationPath path = RelayPropagationPath(this->settings.exchange);
  const RelayBoundSettings& set = this->settings.bounds;
  const PropagationBounds bounds = {set.change_ms, set.leaving_ms,
                                    set.emptying_ms, set.settle_ms};
  LogExceededBounds(ConfigChangeDelays(path, bounds));
  LogExceededBounds(ServerRemovalDelays(path, bounds));
  LogExceededBounds(ZoneEmptyingDelays(
      EmptiedZonesPropagationPath(this->settings.exchange), bounds));
}

absl::Status RelayHost::Impl::Listen() {
  const HostSettings& host = this->settings.host;
  const auto listen = [&host](HttpServer& at, int port) {
    return at.Listen(host.address, static_cast<std::uint16_t>(port), TlsFiles{})
        .status();
  };
  const std::array<absl::Status, 5> started = {
      listen(this->server, host.port),
      listen(this->ready_server, this->settings.listen.ready_port),
      listen(this->forward_server, this->settings.listen.loads_port),
      this->hub.Start(host.address, static_cast<std::uint16_t>(
                                        this->settings.listen.loads_port)),
      this->exchange.Start()};
  for (const absl::Status& status : started) {
    if (!status.ok()) {
      return status;
    }
  }
  if (this->settings.listen.metrics_port > 0) {
    absl::Status metrics_started =
        listen(this->metrics_server, this->settings.listen.metrics_port);
    if (!metrics_started.ok()) {
      return metrics_started;
    }
  }
  return absl::OkStatus();
}

absl::Status RelayHost::Impl::Start() {
  absl::Status listens = this->Listen();
  if (!listens.ok()) {
    return listens;
  }
  this->load_datagrams.Start();
  this->allocation.Start([this] { return this->AllocatorHosts(); });
  this->crash_gossip.Start();
  this->crash_records.Start();
  if (this->HandlesRollouts()) {
    this->rollouts.Start();
  }
  this->path_prober.Start();
  this->feeder.Start();
  this->watch_heartbeats.Start();
  this->host_registry.Announce();
  RunEvery(this->scheduler, kRotatePeriodMs,
           [this] { this->metrics.Rotate(); });
  RunEvery(this->scheduler, DeadHostDetector::kRecentMs, [this] {
    for (const std::string& gone : this->dead_hosts.HostsToRemove()) {
      this->host_registry.Remove(gone);
    }
  });
  RunEvery(this->scheduler, UnreportedStreamEstimator::kPeriodMs,
           [this] { this->UpdateUnreportedStreams(); });
  RunEvery(this->scheduler, kStallPollPeriodMs,
           [this] { this->PollEnginesDuringStall(); });
  RunEvery(this->scheduler, kDrainPeriodMs, [this] {
    this->view.EndRewriting();
    this->ApplyPendingConfig();
    if (!this->rate_limits_divided) {
      this->DivideRateLimits();
    }
    this->relay.DrainQueue();
    this->AdvanceStop();
    FlushLog();
  });
  const HostSettings& host = this->settings.host;
  LogLine("started")
      .Add("host", host.name)
      .Add("address", host.address)
      .Add("port", host.port)
      .Add("zone", host.zone)
      .WriteImportant();
  return absl::OkStatus();
}

std::string RelayHost::Impl::MetricsText() {
  const auto set = [this](std::string_view what, auto value) {
    this->metrics.SetState(what, static_cast<double>(value));
  };
  const std::int64_t now_ms = this->clock.WallMs();
  for (const ViewDigest& digest : this->view.Digests()) {
    set("age_ms_" + digest.kind, now_ms - digest.confirmed.unix_ms);
    const StoreRevision at = StoreRevision::Of(digest.revision);
    set("era_" + digest.kind, at.era);
    set("revision_" + digest.kind, at.revision);
  }
  set("ready",
      !this->stop_plan.has_value() && this->routing_config.Config() != nullptr
          ? 1
          : 0);
  set("running", this->relay.Running());
  set("connections", this->server.Connections());
  set("answers_cut", this->server.InterruptedResponses());
  set("backends", this->backends.Count());
  set("entries_refused", this->invalid_entries.InvalidCount());
  set("rollouts_running", this->rollouts.Running());
  set("rollout_messages_refused", this->rollouts.Refused());
  set("zones_emptied", this->backends.EmptiedZones());
  for (const WatcherState& state : this->feeder.States()) {
    set("passed_over_" + state.kind, state.skipped_objects);
  }
  const ExchangeStats exchanged = this->exchange.Stats();
  set("peers_alive", exchanged.peers_alive);
  set("exchange_rounds", exchanged.rounds);
  set("exchange_rounds_skipped", exchanged.rounds_skipped);
  set("exchange_bytes_in", exchanged.bytes_in);
  set("exchange_bytes_out", exchanged.bytes_out);
  set("exchange_items_taken", exchanged.items_taken);
  set("quarantined", this->quarantine.Count());
  set("crash_records", this->quarantine.RecordTable().Size());
  set("allocation_groups", this->allocation.OwnGroupCount());
  set("engine_speeds_uneven", this->fleet.Speeds().AreUneven() ? 1 : 0);
  set("engine_speeds_ignored", this->fleet.Speeds().Ignored());
  this->SetPathStates();
  for (const Urgency urgency :
       {Urgency::kUrgent, Urgency::kNormal, Urgency::kBatch}) {
    set("queued_" + std::string(UrgencyName(urgency)),
        this->dispatcher.Queue().Queued(urgency));
  }
  if (const RoutingConfig* const in_force = this->routing_config.Config()) {
    for (const ServiceRule& service : in_force->services) {
      set("retries_saved_" + service.name,
          this->budgets.BudgetFor(service.name).Saved());
    }
  }
  const ClientStats& sent = this->client.Stats();
  set("connects", sent.connects);
  set("reuses", sent.reuses);
  set("answers_passed_over", sent.foreign_responses);
  set("log_lines_dropped", LogLinesDropped());
  return this->metrics.Text();
}

void RelayHost::Impl::PollEnginesDuringStall() {
  const std::string_view kind = this->kinds[1];
  const std::vector<WatcherState> states = this->feeder.States();
  this->store_stalls.RecordOwn(std::any_of(
      states.begin(), states.end(), [kind](const WatcherState& one) {
        return one.kind == kind && one.stalled;
      }));
  const bool is_stalled =
      this->store_stalls.IsStalled(this->view.Digest(kind).confirmed.unix_ms);
  this->relay.PollEngineStates(!is_stalled);
}

// Hosts that are stopping allocate no engines any more.
std::vector<AllocatorHost> RelayHost::Impl::AllocatorHosts() const {
  std::vector<AllocatorHost> hosts;
  for (const HostEntry* const host : this->hosts.OfRole(HostRole::kEntry)) {
    const bool stops = host->name == this->settings.host.name
                           ? this->stop_plan.has_value()
                           : this->stop_datagrams.AvailableInMs(host->name) > 0;
    if (!stops) {
      hosts.push_back({host->name, host->zone});
    }
  }
  return hosts;
}

void RelayHost::Impl::UpdateUnreportedStreams() {
  this->chooser.SetUnseenRequests(this->unreported_streams.EstimateUnreported(
      this->relay.Stats().streams, this->hub.Peers()));
}

///////////////////////////
// Configuration and limits
///////////////////////////

void RelayHost::Impl::ApplyConfiguration() {
  const RoutingConfig* const in_force = this->routing_config.Config();
  const ServerLimits limits = RelayLimitsOf(this->settings.bounds, in_force);
  this->server.SetLimits(limits);
  this->forward_server.SetLimits(limits);
  this->answer_memory.SetLimit(AnswerMemoryBytes(this->settings.bounds));
  if (in_force == nullptr) {
    return;
  }
  this->LogUnknownRegions(*in_force);
  // An engine's entry may be read before the configuration that has its
  // service, and may still exist after that service was removed.
  this->RetryInvalidBackends();
  for (const Backend* const backend : this->backends.All()) {
    this->OnBackendChange(BackendChange::kChanged, *backend);
  }
}

void RelayHost::Impl::Reload(const RelaySettings& with) {
  this->settings.retries = with.retries;
  this->settings.bounds = with.bounds;
  this->budgets.SetBounds(RetryLimitsOf(with));
  this->ApplyConfiguration();
  LogLine("reloaded").Add("host", this->settings.host.name).WriteImportant();
}

///////////////////
// Planned stops
///////////////////

void RelayHost::Impl::Stop() {
  if (this->stop_plan.has_value()) {
    return;
  }
  const auto grace_ms = static_cast<std::int64_t>(
      this->settings.bounds.grace_s * static_cast<double>(kMsPerSecond));
  this->stop_plan.emplace(this->clock.MonotonicMs(),
                          StopBounds{kBalancerRemovalMs, grace_ms});
  this->relay.BeginStop(this->stop_plan->LatestAllowedEndMs(), *this);
  this->stop_datagrams.Begin(this->stop_plan->KillTimeMs() + kRestartMs);
  this->server.CloseConnections();
  this->forward_service.BeginStop();
  LogLine("stop-asked")
      .Add("host", this->settings.host.name)
      .Add("running", this->relay.Running())
      .WriteImportant();
}

void RelayHost::Impl::AdvanceStop() {
  if (!this->stop_plan.has_value() || this->exiting) {
    return;
  }
  const StopWork work = {
      this->relay.Running() + this->forward_service.Running(),
      this->server.UndeliveredCount() +
          this->forward_server.UndeliveredCount()};
  const StopStep step = this->stop_plan->Next(this->clock.MonotonicMs(), work);
  if (step == StopStep::kWait) {
    return;
  }
  this->exiting = step != StopStep::kAbortRequests;
  LogLine(this->exiting ? "stopped" : "stop-ends-rest")
      .Add("host", this->settings.host.name)
      .Add("why", StopStepName(step))
      .Add("running", work.running)
      .Add("callers_owed", work.callers_owed)
      .WriteImportant();
  if (this->exiting) {
    this->stop_datagrams.AnnounceExit(kRestartMs);
    QCoreApplication::quit();
  } else {
    this->relay.EndForShutdown();
  }
}

std::int64_t RelayHost::Impl::ReturnAfterMs() const {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  std::vector<HostAvailability> known;
  for (const HostEntry* const host : this->hosts.OfRole(HostRole::kEntry)) {
    if (host->name != this->settings.host.name) {
      const std::int64_t back_in_ms =
          this->settings.policy.stops_are_told
              ? this->stop_datagrams.AvailableInMs(host->name)
              : 0;
      known.push_back({host->zone, back_in_ms});
    }
  }
  const std::int64_t back_in_ms =
      this->stop_plan->KillTimeMs() + kRestartMs - now_ms;
  known.push_back(
      {this->settings.host.zone, std::max<std::int64_t>(1, back_in_ms)});
  return RetryAfterStopMs(this->settings.host.zone, known,
                          this->stop_plan->NoticedMs() - now_ms);
}

RelayHost::RelayHost(const RelaySettings& settings, RelayPlatform& platform)
    : impl(std::make_unique<Impl>(settings, platform)) {}

RelayHost::~RelayHost() = default;

absl::Status RelayHost::Start() { return this->impl->Start(); }

void RelayHost::Stop() { this->impl->Stop(); }

void RelayHost::Reload(const RelaySettings& settings) {
  this->impl->Reload(settings);
}

}  // namespace meadowthread
