#include "serve/relay_host.h"

#include <QCoreApplication>
#include <algorithm>
#include <array>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/log_line.h"
#include "base/log_writer.h"
#include "policy/stop_retry_after.h"
#include "serve/detail/relay_host_parts.h"
#include "serve/reading_options.h"
#include "serve/relay_limits.h"
#include "serve/word_waits.h"

namespace meadowthread {
namespace {

constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::int64_t kRotatePeriodMs = 60'000;
// Of a node's 29 KB a second for control, what the exchange's calls leave.
constexpr std::int64_t kDatagramBytesPerSecond = 18'000;
// Peers tell all of their load each three seconds: two may be lost.
constexpr std::int64_t kPeerAgeMs = 7'000;
// While the store can't tell, engines are asked themselves. They stay for about
// two seconds, and their word is half a second old.
constexpr std::int64_t kAskPeriodMs = 150;
constexpr std::int64_t kDrainPeriodMs = 20;
// The balancer asks each second and takes a host out after two questions
// without a yes: for so long new connections still come to a stopping host.
constexpr std::int64_t kBalancerMs = 2'400;
// From a process's end to its next one's first request: a new process read the
// store and served 0.2 to 0.3 s after its start.
constexpr std::int64_t kRestartMs = 400;
constexpr std::int64_t kMsPerSecond = 1'000;
// Other hosts' entries serve speed only: news of them may wait, and those of a
// whole fleet that starts come in one read.
FeederOptions EntriesOptions(FeederOptions options) {
  options.wait_ms = 10'000;
  options.pace_ms = 500;
  // Two of its watches.
  options.self_watch_ms = 22'000;
  return options;
}

// Hosts tell each other of the quarantine; the store only has it for those that
// find no other, and for operators.
FeederOptions QuarantineOptions(FeederOptions options) {
  options.wait_ms = 25'000;
  options.pace_ms = 500;
  // Two of its watches.
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

std::vector<FedKind> FedKinds(const RelayKinds& kinds,
                              const FeederOptions& options,
                              const std::function<std::int64_t()>& stagger_ms,
                              const std::function<bool()>& watches_zones) {
  FeederOptions apart = options;
  apart.stagger_ms = stagger_ms;
  return {{kinds.plan, options},
          {kinds.backends, apart, {}},
          {kinds.hosts, EntriesOptions(options), {}},
          {kinds.quarantine, QuarantineOptions(options), {}},
          {kinds.emptied_zones, EmptiedZonesReading(options.host, options.seed),
           watches_zones}};
}

Settings ExchangeSettingsOf(const RelaySettings& with) {
  Settings settings;
  settings.host = with.host;
  settings.exchange = with.exchange;
  return settings;
}

FleetRetryLimits RetryBoundsOf(const RelaySettings& settings) {
  return {settings.retries.per_request, settings.retries.extra};
}

}  // namespace

RelayHost::Parts::Parts(const RelaySettings& with, RelayPlatform& on)
    : settings(with),
      platform(on),
      store(on.MakeStore(this->store_client, with.store)),
      kinds({on.Kinds().plan, on.Kinds().backends, on.Kinds().hosts,
             on.Kinds().quarantine, on.Kinds().emptied_zones}),
      view(this->clock, this->kinds),
      feeder(FedKinds(
                 on.Kinds(), RelayReading(with.host.name, this->random()),
                 [this] { return this->StaggerMs(); },
                 [this] { return this->WatchesZones(); }),
             *this->store, this->view, this->scheduler, this->clock,
             [this] { return this->IsWatcher(); }),
      exchange(ExchangeSettingsOf(with), this->clock.WallMs(), this->clock,
               this->scheduler, this->view, this->hosts),
      entries(on.Kinds().hosts,
              {with.host.name, with.host.address, with.host.control_port,
               with.listen.loads_port, with.host.zone, with.host.region},
              *this->store, this->view, this->scheduler),
      backends(this->clock, this->scheduler, this->absence),
      budgets(RetryBoundsOf(with)),
      refused(this->clock,
              [this](std::string_view kind, std::string_view field) {
                this->metrics.OnEntryRefused(kind, field);
              }),
      // Engines say themselves how long they are slow, and live for minutes.
      fleet(this->lengths, FleetOptions{0, kPeerAgeMs}),
      gone_hosts(with.host.name, this->clock),
      load_notes(with.host.name, this->clock, this->fleet),
      hub(with.host.name, kDatagramBytesPerSecond, this->random(), this->clock),
      stop_datagrams(this->hub, this->clock, this->scheduler),
      silence(this->hub, this->clock),
      contact(this->hub, this->clock, this->scheduler, this->absence,
              this->random, [this] { return this->OtherReaders(); }),
      view_datagrams(
          std::vector<std::string>{on.Kinds().backends, on.Kinds().plan,
                                   on.Kinds().emptied_zones},
          this->view, this->hub, this->scheduler,
          [this](std::string_view kind) { this->feeder.Hurry(kind); }),
      quarantine(this->listen_check, this->clock, this->scheduler),
      arrivals(with.host.name),
      crash_datagrams(this->hub),
      crash_words(this->quarantine.RecordTable(), this->crash_datagrams,
                  this->clock, this->scheduler, this->random()),
      quarantine_entries(on.Kinds().quarantine, StoredRecords::kQuarantined,
                         this->quarantine, *this->store, this->view,
                         this->clock, this->scheduler, this->random()),
      spread(kDatagramBytesPerSecond),
      chooser(PressureOf(with)),
      local_allocation(this->chooser, this->fleet, this->clock, this->random),
      allocation(
          AllocationOf(with),
          {this->hub, this->fleet, this->local_allocation, this->load_notes,
           this->scheduler, this->clock, this->arrivals, this->random}),
      load_datagrams(this->hub, this->load_notes, this->allocation,
                     this->allocation, this->clock, this->scheduler),
      dispatcher(this->fleet, this->chooser),
      admission(AdmissionOf(with.policy)),
      links(with.host.zone),
      control(on.MakeControl(this->client)),
      relay(with.host.name,
            {this->clock, this->scheduler, this->client, on.Backends(),
             this->backends, this->health, this->budgets, this->metrics,
             this->quarantine, this->arrivals, this->random},
            {this->allocation.Allocation(), this->dispatcher, this->fleet,
             this->first_tries, this->admission, this->links},
            *this->control, on.Callers(), this->plan),
      ready_service(on.ReadyPath(),
                    [this] {
                      return !this->stop_plan.has_value() &&
                             this->plan.Config() != nullptr;
                    }),
      metrics_service(kMetricsPath, [this] { return this->MetricsText(); }),
      server(&this->relay, ServerLimits{}),
      ready_server(&this->ready_service, ServerLimits{}),
      metrics_server(&this->metrics_service, ServerLimits{}) {
  if (with.policy.avoids_bad_links) {
    this->chooser.SetLinks(&this->links);
  }
  this->chooser.SetWithin([this](const EngineView& view) {
    return this->arrivals.May(view.engine, this->clock.MonotonicMs());
  });
  this->backends.SetRegions(with.regions);
  this->ApplyBounds();
  this->view.AddListener(
      [this](const ViewChange& change) { this->TakeView(change); });
  this->plan.AddListener([this] { this->ApplyBounds(); });
  this->CheckWaits();
  this->backends.AddListener(
      [this](BackendChange change, const Backend& backend) {
        this->TakeBackendChange(change, backend);
      });
  this->health.SetListener([this](const HealthUpdate& news) {
    this->fleet.SetFailureShare(news.id, news.failure_share);
    this->fleet.MarkUnreachable(news.id,
                                this->clock.WallMs() + news.backoff_ms);
    if (!news.from_peer) {
      this->allocation.ReportAttempt(
          {std::string(news.id), static_cast<int>(news.result)});
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
  this->allocation.SetLoadReporter(
      [this] { this->load_datagrams.TellAllSoon(); });
  this->entries.SetListener(
      [this](const std::vector<EntryHost>& known) { this->TakeHosts(known); });
  this->entries.OnRead(
      [this](const StoredObject& object, const absl::Status& read) {
        this->NoteRead(object, read);
      });
  this->hub.OnHeard([this](std::string_view host) {
    this->gone_hosts.NoteHeard(host);
    this->allocation.NoteHeard(host);
  });
  this->crash_datagrams.Connect(this->crash_words);
  this->quarantine.AddListener([this](const CrashRecordId& quarantined) {
    this->relay.EndQuarantined(quarantined);
  });
  this->exchange.KeepOutOfNews(on.Kinds().backends);
  this->feeder.OnAnswered(
      [this] { this->absence.RecordAnswer(this->clock.MonotonicMs()); });
  this->contact.OnWord([this] { this->backends.ReviewGracePeriods(); });
}

void RelayHost::Parts::CheckWaits() const {
  const WordPath path = RelayPath(this->settings.exchange);
  const RelayBoundSettings& set = this->settings.bounds;
  const WordBounds bounds = {set.change_ms, set.leaving_ms, set.emptying_ms,
                             set.settle_ms};
  TellWaits(ChangeWaits(path, bounds));
  TellWaits(LeavingWaits(path, bounds));
  TellWaits(EmptyingWaits(EmptiedZonesPath(this->settings.exchange), bounds));
}

absl::Status RelayHost::Parts::Start() {
  const HostSettings& host = this->settings.host;
  const auto listen = [&host](HttpServer& at, int port) {
    return at.Listen(host.address, static_cast<std::uint16_t>(port), TlsFiles{})
        .status();
  };
  const std::array<absl::Status, 4> started = {
      listen(this->server, host.port),
      listen(this->ready_server, this->settings.listen.ready_port),
      this->hub.Start(host.address, static_cast<std::uint16_t>(
                                        this->settings.listen.loads_port)),
      this->exchange.Start()};
  for (const absl::Status& status : started) {
    if (!status.ok()) {
      return status;
    }
  }
  if (this->settings.listen.metrics_port > 0) {
    absl::Status told =
        listen(this->metrics_server, this->settings.listen.metrics_port);
    if (!told.ok()) {
      return told;
    }
  }
  this->load_datagrams.Start();
  this->allocation.Start([this] { return this->AllocatorHosts(); });
  this->crash_words.Start();
  this->quarantine_entries.Start();
  this->feeder.Start();
  this->entries.Announce();
  RunEvery(this->scheduler, kRotatePeriodMs,
           [this] { this->metrics.Rotate(); });
  RunEvery(this->scheduler, GoneHosts::kHeardMs, [this] {
    for (const std::string& gone : this->gone_hosts.ToRemove()) {
      this->entries.Remove(gone);
    }
  });
  RunEvery(this->scheduler, ChoiceSpread::kPeriodMs,
           [this] { this->SpreadChoices(); });
  RunEvery(this->scheduler, kAskPeriodMs, [this] { this->AskWhileSilent(); });
  RunEvery(this->scheduler, kDrainPeriodMs, [this] {
    this->TakeWaitingPlan();
    if (!this->arrivals_shared) {
      this->ShareArrivals();
    }
    this->relay.DrainQueue();
    this->GoOnStopping();
    FlushLog();
  });
  LogLine("started")
      .Add("host", host.name)
      .Add("address", host.address)
      .Add("port", host.port)
      .Add("zone", host.zone)
      .WriteImportant();
  return absl::OkStatus();
}

std::string RelayHost::Parts::MetricsText() {
  const auto set = [this](std::string_view what, auto value) {
    this->metrics.SetState(what, static_cast<double>(value));
  };
  const std::int64_t now_ms = this->clock.WallMs();
  for (const ViewDigest& digest : this->view.Digests()) {
    set("age_ms_" + digest.kind, now_ms - digest.confirmed.unix_ms);
    set("revision_" + digest.kind, digest.revision);
  }
  set("ready",
      !this->stop_plan.has_value() && this->plan.Config() != nullptr ? 1 : 0);
  set("running", this->relay.Running());
  set("connections", this->server.Connections());
  set("answers_cut", this->server.AnswersCut());
  set("backends", this->backends.Count());
  set("entries_refused", this->refused.Standing());
  set("zones_emptied", this->backends.EmptiedZones());
  for (const FeederState& state : this->feeder.States()) {
    set("passed_over_" + state.kind, state.passed_over);
  }
  set("peers_alive", this->exchange.PeersAlive());
  set("quarantined", this->quarantine.Count());
  set("crash_records", this->quarantine.RecordTable().Size());
  set("allocation_groups", this->allocation.OwnGroupCount());
  for (const Urgency urgency :
       {Urgency::kUrgent, Urgency::kNormal, Urgency::kBatch}) {
    set("queued_" + std::string(UrgencyName(urgency)),
        this->dispatcher.Queue().Queued(urgency));
  }
  if (const RoutingConfig* const in_force = this->plan.Config()) {
    for (const ServiceRule& service : in_force->services) {
      set("retries_saved_" + service.name,
          this->budgets.BudgetFor(service.name).Saved());
    }
  }
  const ClientStats& sent = this->client.Stats();
  set("connects", sent.connects);
  set("reuses", sent.reuses);
  set("answers_passed_over", sent.answers_passed);
  set("log_lines_dropped", LogLinesDropped());
  return this->metrics.Text();
}

void RelayHost::Parts::AskWhileSilent() {
  const std::string_view kind = this->kinds[1];
  const std::vector<FeederState> states = this->feeder.States();
  this->silence.NoteOwn(
      std::any_of(states.begin(), states.end(), [kind](const FeederState& one) {
        return one.kind == kind && one.stalled;
      }));
  const bool is_silent =
      this->silence.IsSilent(this->view.Digest(kind).confirmed.unix_ms);
  this->relay.PollEngineStates(!is_silent);
}

// A host that stops hands out nothing any more.
std::vector<AllocatorHost> RelayHost::Parts::AllocatorHosts() const {
  std::vector<AllocatorHost> hosts;
  for (const HostEntry* const host : this->hosts.OfRole(HostRole::kEntry)) {
    const bool stops = host->name == this->settings.host.name
                           ? this->stop_plan.has_value()
                           : this->stop_datagrams.BackInMs(host->name) > 0;
    if (!stops) {
      hosts.push_back({host->name, host->zone});
    }
  }
  return hosts;
}

void RelayHost::Parts::SpreadChoices() {
  this->chooser.SetUnseen(
      this->spread.Unseen(this->relay.Stats().streams, this->hub.Peers()));
}

/////////////
// Its bounds
/////////////

void RelayHost::Parts::ApplyBounds() {
  const RoutingConfig* const in_force = this->plan.Config();
  this->server.SetLimits(RelayLimitsOf(this->settings.bounds, in_force));
  if (in_force == nullptr) {
    return;
  }
  this->CheckHomes(*in_force);
  // Engines may have been listed before the services that they belong to, and
  // outlive them.
  this->TakeSetAsideAgain();
  for (const Backend* const backend : this->backends.All()) {
    this->TakeBackendChange(BackendChange::kChanged, *backend);
  }
}

void RelayHost::Parts::Reload(const RelaySettings& with) {
  this->settings.retries = with.retries;
  this->settings.bounds = with.bounds;
  this->budgets.SetBounds(RetryBoundsOf(with));
  this->ApplyBounds();
  LogLine("reloaded").Add("host", this->settings.host.name).WriteImportant();
}

///////////////////
// Planned stops
///////////////////

void RelayHost::Parts::Stop() {
  if (this->stop_plan.has_value()) {
    return;
  }
  const auto grace_ms = static_cast<std::int64_t>(
      this->settings.bounds.grace_s * static_cast<double>(kMsPerSecond));
  this->stop_plan.emplace(this->clock.MonotonicMs(),
                          StopBounds{kBalancerMs, grace_ms});
  this->relay.BeginStop(this->stop_plan->LastEndMs(), *this);
  this->stop_datagrams.Begin(this->stop_plan->ForcedMs() + kRestartMs);
  this->server.CloseConnections();
  LogLine("stop-asked")
      .Add("host", this->settings.host.name)
      .Add("running", this->relay.Running())
      .WriteImportant();
}

void RelayHost::Parts::GoOnStopping() {
  if (!this->stop_plan.has_value() || this->left) {
    return;
  }
  const StopWork work = {this->relay.Running(), this->server.Owed()};
  const StopStep step = this->stop_plan->Next(this->clock.MonotonicMs(), work);
  if (step == StopStep::kWait) {
    return;
  }
  this->left = step != StopStep::kAbortRequests;
  LogLine(this->left ? "stopped" : "stop-ends-rest")
      .Add("host", this->settings.host.name)
      .Add("why", StopStepName(step))
      .Add("running", work.running)
      .Add("callers_owed", work.callers_owed)
      .WriteImportant();
  if (this->left) {
    this->stop_datagrams.TellEnd(kRestartMs);
    QCoreApplication::quit();
  } else {
    this->relay.EndForShutdown();
  }
}

std::int64_t RelayHost::Parts::ReturnAfterMs() const {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  std::vector<HostAvailability> known;
  for (const HostEntry* const host : this->hosts.OfRole(HostRole::kEntry)) {
    if (host->name != this->settings.host.name) {
      const std::int64_t back_in_ms =
          this->settings.policy.stops_are_told
              ? this->stop_datagrams.BackInMs(host->name)
              : 0;
      known.push_back({host->zone, back_in_ms});
    }
  }
  const std::int64_t back_in_ms =
      this->stop_plan->ForcedMs() + kRestartMs - now_ms;
  known.push_back(
      {this->settings.host.zone, std::max<std::int64_t>(1, back_in_ms)});
  return RetryAfterStopMs(this->settings.host.zone, known,
                          this->stop_plan->NoticedMs() - now_ms);
}

RelayHost::RelayHost(const RelaySettings& settings, RelayPlatform& platform)
    : parts(std::make_unique<Parts>(settings, platform)) {}

RelayHost::~RelayHost() = default;

absl::Status RelayHost::Start() { return this->parts->Start(); }

void RelayHost::Stop() { this->parts->Stop(); }

void RelayHost::Reload(const RelaySettings& settings) {
  this->parts->Reload(settings);
}

}  // namespace meadowthread
