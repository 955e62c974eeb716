#include "serve/host_process.h"

#include <glog/logging.h>
#include <xxhash.h>

#include <QCoreApplication>
#include <QUuid>
#include <algorithm>
#include <array>
#include <functional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/log_line.h"
#include "base/log_writer.h"
#include "claims/counting_claim_service.h"
#include "claims/store_claim_service.h"
#include "configuration/service_catalog.h"
#include "configuration/view_watcher.h"
#include "gateway/gateway.h"
#include "gateway/service_backend_feed.h"
#include "gateway/service_backend_protocol.h"
#include "hosts/host_list_poller.h"
#include "net/http_server.h"
#include "net/listen_probe.h"
#include "net/pooled_client.h"
#include "net/qt_scheduler.h"
#include "policy/length_model.h"
#include "policy/stop_plan.h"
#include "quarantine/crash_messages.h"
#include "quarantine/quarantine.h"
#include "serve/claim_forwarding.h"
#include "serve/crash_record_store.h"
#include "serve/engine_monitor.h"
#include "serve/engine_restart_detector.h"
#include "serve/exchange_participant.h"
#include "serve/feeder_options.h"
#include "serve/host_metrics.h"
#include "serve/host_status.h"
#include "serve/host_work_gate.h"
#include "serve/ownership_participant.h"
#include "serve/placement_participant.h"
#include "serve/policy_setup.h"
#include "serve/relay_metrics.h"
#include "settings/secret_file.h"
#include "store/http_object_store.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kDrainPeriodMs = 20;
constexpr std::int64_t kTickPeriodMs = 1000;
constexpr std::int64_t kRotatePeriodMs = 60'000;
constexpr std::size_t kShownRunning = 20;
constexpr int kClaimThreads = 8;
// Retries allowed to all hosts together within the budget's window, in addition
// to those earned by calls: enough for a few servers that each fail some calls
// when they stop.
constexpr double kExtraServiceRetries = 20.0;
constexpr std::array<std::string_view, 5> kViewKinds = {
    kEmptiedZonesKind, kMarksKind, kOwnershipKind, kQuarantineKind,
    kTemplatesKind};

SessionOptions MakeSessionOptions(const Settings& settings) {
  SessionOptions options;
  options.delivery_limits.slow_caller_bytes =
      settings.callers.slow_caller_bytes;
  options.delivery_limits.whole_answer_bytes =
      settings.callers.whole_answer_bytes;
  options.keepalive_ms = settings.callers.keepalive_ms;
  options.resume_expiry_ms = settings.answers.resume_expiry_ms;
  options.orphan_timeout_ms = settings.answers.orphan_timeout_ms;
  return options;
}

ServerLimits MakeServerLimits(const Settings& settings) {
  ServerLimits limits;
  limits.max_body_bytes = settings.callers.max_body_bytes;
  limits.max_header_bytes = settings.callers.max_header_bytes;
  limits.header_timeout_ms = settings.callers.body_timeout_ms;
  limits.body_timeout_ms = settings.callers.body_timeout_ms;
  return limits;
}

ClaimSettings MakeClaimSettings(const Settings& settings) {
  ClaimSettings claims;
  claims.shards = settings.claims.shards;
  claims.host = settings.host.name;
  claims.segment_bytes =
      static_cast<std::size_t>(settings.claims.segment_bytes);
  claims.retention_ms = settings.claims.retention_ms;
  return claims;
}

// Forwarded claim operations use a separate RPC client. If the host that they
// are forwarded to is frozen, the calls occupy the client's threads until they
// time out, which must not delay the exchange.
RpcClientSettings MakeClaimChannelSettings() {
  RpcClientSettings settings;
  settings.threads = kClaimThreads;
  return settings;
}

}  // namespace

absl::StatusOr<SecretKeys> ReadSecretKeys(const Settings& settings) {
  SecretKeys keys;
  if (settings.answers.resume_key_file.empty()) {
    keys.resume_keys.push_back(QUuid::createUuid().toByteArray().toStdString());
    return keys;
  }
  const absl::StatusOr<std::string> key = ReadSecretFile(
      "answers.resume_key_file", settings.answers.resume_key_file);
  if (!key.ok()) {
    return key.status();
  }
  keys.resume_keys.push_back(*key);
  return keys;
}

/// @brief The components of one host, declared in the order of their
/// dependencies.
class HostProcess::Impl {
 public:
  Impl(const Settings& with, const SecretKeys& keys);

  absl::Status Start();
  void Stop(int times);

 private:
  bool IsWatcher() const;
  void ApplyHosts();
  void ApplyEmptiedZones(const ViewChange& change);
  void StopIfMarked();
  std::size_t Running() const;
  RemainingWork Unfinished() const;
  void ExitIfDrained();
  void LogRemainingWork() const;
  std::string StatusJson() const;
  void SetGauges();

  Settings settings;
  SystemClock clock;
  std::mt19937_64 random{std::random_device{}()};
  QtScheduler scheduler;
  PooledClient client;
  HttpObjectStore store;
  ReplicatedView view;
  ServiceCatalog catalog;
  HostDirectory hosts;
  HostListPoller host_list;
  std::int64_t incarnation;
  ViewWatcher feeder;
  OwnershipParticipant ownership;
  ExchangeParticipant exchange;
  LearnedLengthModel lengths;
  FleetState fleet;
  FleetLoadAdapter load_adapter;
  std::unique_ptr<EngineChooser> chooser;
  Dispatcher dispatcher;
  RetryBudget retries;
  WorkspaceLimits limits;
  EngineClient engine_client;
  EngineMonitor engines;
  RpcClient claim_channel;
  RpcClaimForwarder claim_forwarder;
  StoreClaimService stored_claims;
  CountingClaimService claims;
  ResumeTokenCodec tokens;
  HostMetrics metrics;
  HostWorkGate gate;
  PlacementParticipant placement;
  ServiceBackendProtocol service_backend_protocol;
  NoEntryGracePeriod grace_periods;
  BackendList backends;
  ServiceBackendFeed service_backend_feed;
  BackendHealth health;
  RetryBudgets service_retries;
  RelayMetrics service_metrics;
  QtListenProbe listen_check;
  Quarantine quarantine;
  ServerRateLimiter rate_limiter;
  NoVersionGate version_gate;
  NoServerPermits permits;
  RequestedBackoffs backoffs;
  StopAdmission stops;  ///< never begun: this program waits for its requests
  AnswerMemory answer_memory;
  CrashRecordStore crash_records;
  EngineRestartDetector engine_restarts;
  ServiceForwarder forwarder;
  std::unique_ptr<Gateway> gateway;
  std::unique_ptr<HttpServer> server;
  bool stopping = false;
  std::int64_t idle_since_ms = -1;  ///< monotonic; -1: no stop, or still busy
  bool exiting = false;
};

HostProcess::Impl::Impl(const Settings& with, const SecretKeys& keys)
    : settings(with),
      store(
          this->client,
          {with.platform.object_api, with.platform.request_timeout_ms,
           with.platform.request_timeout_ms, with.platform.request_timeout_ms}),
      view(this->clock, kViewKinds),
      catalog(this->view),
      host_list(this->client, this->scheduler, this->hosts,
                with.platform.host_list, with.platform.host_list_period_ms),
      incarnation(this->clock.WallMs()),
      feeder(WithSameOptions(kViewKinds,
                             HostFeederOptions(with.host.name, this->random())),
             this->store, this->view, this->scheduler, this->clock,
             [this] { return this->IsWatcher(); }),
      ownership(with, this->incarnation, this->clock, this->scheduler,
                this->store, this->view),
      exchange(with, this->incarnation, this->clock, this->scheduler,
               this->view, this->hosts),
      fleet(this->lengths, FleetOptions{.measures_speeds = false}),
      load_adapter(with.host.name, this->clock, this->fleet),
      chooser(MakeChooser(with.policy)),
      dispatcher(this->fleet, *this->chooser,
                 MakeAdmissionOptions(with.policy)),
      retries(RetryBudgetOptions{with.policy.retry_budget_ratio}),
      engine_client(this->client,
                    EngineTimeouts{1000, with.answers.engine_silence_ms, 2000}),
      engines({this->clock, this->scheduler, this->hosts, this->engine_client,
               this->fleet, this->random,
               [this](std::string_view engine) {
                 return this->ownership.MayUseEngine(engine) &&
                        !this->gate.IsMarked(engine);
               }}),
      claim_channel(MakeClaimChannelSettings(), this->clock),
      claim_forwarder(with.host.name,
                      MakeClaimSettings(with).forward_timeout_ms,
                      {this->clock, this->hosts, this->claim_channel}),
      stored_claims({&this->store, &this->scheduler, &this->clock,
                     MakeClaimSettings(with)},
                    &this->claim_forwarder),
      claims(this->stored_claims),
      tokens(keys.resume_keys),
      gate({with.host.name, this->clock, this->view, this->hosts,
            with.configuration.stale_limit_ms, this->incarnation,
            [this] { return this->exchange.PeersAlive(); },
            [this](std::string_view workspace) {
              return this->ownership.BeginWork(workspace);
            },
            [this](std::string_view workspace) {
              this->ownership.EndWork(workspace);
            }}),
      placement(with, this->incarnation,
                {this->clock, this->scheduler, this->store, this->client,
                 this->catalog, this->hosts, this->engines, this->gate,
                 this->ownership.View()}),
      backends(this->clock, this->scheduler, this->grace_periods),
      service_backend_feed(this->hosts, this->backends),
      service_retries({with.policy.retry_budget_ratio, kExtraServiceRetries}),
      quarantine(this->listen_check, this->clock, this->scheduler),
      rate_limiter(with.host.name),
      crash_records(kQuarantineKind, StoredRecords::kSuspects, this->quarantine,
                    this->store, this->view, this->clock, this->scheduler,
                    this->random()),
      forwarder(
          {{this->clock, this->scheduler, this->client,
            this->service_backend_protocol, this->backends, this->health,
            this->service_retries, this->service_metrics, this->quarantine,
            this->rate_limiter, this->random, this->version_gate, this->permits,
            this->backoffs, this->stops, this->answer_memory},
           this->catalog,
           this->claims}) {
  SessionDependencies session = {this->clock,
                                 this->scheduler,
                                 this->engine_client,
                                 this->engines,
                                 this->dispatcher,
                                 this->fleet,
                                 this->retries,
                                 this->limits,
                                 this->claims,
                                 this->quarantine,
                                 this->tokens,
                                 nullptr,
                                 MakeSessionOptions(with),
                                 this->random};
  GatewayDependencies gateway_parts = {
      session,
      this->catalog,
      this->gate,
      this->forwarder,
      this->metrics,
      [this] {
        this->SetGauges();
        return this->metrics.Text() + this->service_metrics.Text();
      },
      [this] { return this->StatusJson(); },
      static_cast<std::size_t>(with.callers.max_streams)};
  this->gateway = std::make_unique<Gateway>(gateway_parts);
  this->server =
      std::make_unique<HttpServer>(this->gateway.get(), MakeServerLimits(with));
  this->exchange.EnableLoadNotes(&this->load_adapter);
  this->quarantine.AddListener([this](const CrashRecord& quarantined) {
    this->gateway->EndQuarantined(quarantined);
  });
  this->hosts.AddListener([this] { this->ApplyHosts(); });
  RegisterClaimMethod(&this->exchange.Server(), &this->stored_claims);
  this->view.AddListener([this](const ViewChange& change) {
    if (change.kind != kTemplatesKind) {
      this->engines.Refresh();
    }
    if (change.kind == kEmptiedZonesKind) {
      this->ApplyEmptiedZones(change);
    }
    if (change.kind == kMarksKind) {
      this->ApplyHosts();
      this->StopIfMarked();
    }
  });
  this->catalog.AddListener(
      [this] { ApplyLimits(this->catalog, &this->limits); });
  this->engines.on_report = [this](const LoadReport& report) {
    this->metrics.OnReport(report);
    if (const auto ended = this->engine_restarts.Observe(report)) {
      this->quarantine.NoteGone(EngineInstanceKey(report.engine, *ended));
    }
  };
}

void HostProcess::Impl::ApplyEmptiedZones(const ViewChange& change) {
  const Marks zones(this->view, kEmptiedZonesKind);
  for (const StoredObject& object : change.items) {
    this->backends.SetZoneEmptied(
        object.name, zones.MarkOf(object.name).mark != HostMark::kLive);
  }
}

absl::Status HostProcess::Impl::Start() {
  const HostSettings& host = this->settings.host;
  const absl::StatusOr<std::uint16_t> port = this->server->Listen(
      host.address, static_cast<std::uint16_t>(host.port),
      {this->settings.tls.certificate_file, this->settings.tls.key_file});
  if (!port.ok()) {
    return port.status();
  }
  this->host_list.Start();
  this->engines.Start();
  this->feeder.Start();
  this->crash_records.Start();
  this->ownership.Start();
  this->placement.Start();
  absl::Status exchange_started = this->exchange.Start();
  if (!exchange_started.ok()) {
    return exchange_started;
  }
  RunEvery(this->scheduler, kDrainPeriodMs, [this] {
    this->gateway->DrainQueue();
    this->ExitIfDrained();
    FlushLog();
  });
  RunEvery(this->scheduler, kTickPeriodMs, [this] {
    this->gateway->TickSessions();
    this->StopIfMarked();
    this->LogRemainingWork();
  });
  RunEvery(this->scheduler, kRotatePeriodMs, [this] {
    this->metrics.Rotate();
    this->service_metrics.Rotate();
  });
  LogLine line("started");
  line.Add("host", host.name)
      .Add("address", host.address)
      .Add("port", *port)
      .Add("zone", host.zone)
      .Add("incarnation", this->incarnation)
      .Write();
  return absl::OkStatus();
}

// The live entry hosts whose names have the lowest hashes watch the platform;
// the others get its changes through the exchange.
bool HostProcess::Impl::IsWatcher() const {
  const auto rank_of = [](const std::string& name) {
    return XXH64(name.data(), name.size(), 0);
  };
  const std::uint64_t own = rank_of(this->settings.host.name);
  const std::vector<std::string> names = this->gate.LiveEntryHosts();
  const auto lower_ranked = std::count_if(
      names.begin(), names.end(),
      [&](const std::string& name) { return rank_of(name) < own; });
  return lower_ranked < this->settings.platform.watchers;
}

// Applies a change of the live entry hosts. These divide the workspace limits
// among themselves, and each engine and each shard of the claims is assigned to
// a preferred one of them.
void HostProcess::Impl::ApplyHosts() {
  const std::vector<std::string> names = this->gate.LiveEntryHosts();
  this->limits.SetHosts(
      static_cast<int>(std::max<std::size_t>(1, names.size())));
  this->service_retries.SetHosts(static_cast<int>(names.size()));
  this->fleet.SetHosts(this->settings.host.name, names);
  this->claim_forwarder.SetHosts(names);
}

///////////////////
// Planned stops
///////////////////

void HostProcess::Impl::Stop(int times) {
  LogLine line("stop-asked");
  line.Add("host", this->settings.host.name)
      .Add("times", times)
      .Add("running", this->gateway->Running())
      .Write();
  this->gate.Close();
  this->stopping = true;
  if (times > 1) {
    const int cut = this->gateway->DisconnectResumableStreams();
    LogLine("hand-over").Add("streams", cut).Write();
  }
  this->LogRemainingWork();
}

// A mark "stopping" has the same effect as SIGTERM, or as a second SIGTERM if
// it asks for a handover.
void HostProcess::Impl::StopIfMarked() {
  const MarkDocument mark = this->gate.Mark();
  if (mark.mark != HostMark::kStopping || this->stopping) {
    return;
  }
  this->Stop(mark.handover ? 2 : 1);
}

std::size_t HostProcess::Impl::Running() const {
  return this->gateway->Running() +
         static_cast<std::size_t>(this->forwarder.Running());
}

RemainingWork HostProcess::Impl::Unfinished() const {
  return {this->server->UndeliveredCount(), this->claims.Pending(),
          this->exchange.Server().UndeliveredCount()};
}

void HostProcess::Impl::ExitIfDrained() {
  if (!this->stopping || this->exiting || this->Running() > 0) {
    return;
  }
  const std::int64_t now_ms = this->clock.MonotonicMs();
  if (this->idle_since_ms < 0) {
    this->idle_since_ms = now_ms;
    this->server->CloseConnections();
    this->exchange.Server().CloseConnections();
  }
  if (!MayExit(now_ms - this->idle_since_ms, this->Unfinished())) {
    return;
  }
  this->exiting = true;
  this->placement.Stop();
  this->ownership.Leave([this] {
    const RemainingWork unfinished = this->Unfinished();
    LogLine("stopped")
        .Add("host", this->settings.host.name)
        .Add("callers_owed", unfinished.callers_owed)
        .Add("claims_pending", unfinished.claims_pending)
        .Add("peers_owed", unfinished.peers_owed)
        .WriteImportant();
    QCoreApplication::quit();
  });
}

void HostProcess::Impl::LogRemainingWork() const {
  if (!this->stopping || this->exiting) {
    return;
  }
  LogLine line("stop-waits");
  line.Add("host", this->settings.host.name)
      .Add("running", this->Running())
      .Add("callers_owed", this->server->UndeliveredCount())
      .Add("claims_pending", this->claims.Pending());
  std::string requests;
  for (const RunningRequest& running :
       this->gateway->RunningRequests(kShownRunning)) {
    absl::StrAppend(&requests, requests.empty() ? "" : ",", running.request);
  }
  line.Add("requests", requests).Write();
}

//////////////////////
// Status and metrics
//////////////////////

std::string HostProcess::Impl::StatusJson() const {
  HostStatus status;
  status.host = this->settings.host.name;
  status.incarnation = this->incarnation;
  status.ready = this->gate.MayTakeWork();
  status.configuration_revision = this->view.LatestChange(kTemplatesKind);
  status.templates = this->view.Digest(kTemplatesKind);
  status.streams = this->gateway->Running();
  for (const Urgency urgency :
       {Urgency::kUrgent, Urgency::kNormal, Urgency::kBatch}) {
    status.queued += this->dispatcher.Queue().Queued(urgency);
  }
  status.mark = this->gate.Mark().mark;
  if (this->stopping) {
    status.stop_waits_for = this->gateway->RunningRequests(kShownRunning);
  }
  status.engines = this->fleet.EngineCount();
  status.engines_usable = this->engines.UsableEngines();
  status.problems = this->catalog.Problems();
  return HostStatusJson(status);
}

void HostProcess::Impl::SetGauges() {
  this->metrics.SetState("streams",
                         static_cast<double>(this->gateway->Running()));
  this->metrics.SetState("ready", this->gate.MayTakeWork().ok() ? 1.0 : 0.0);
  this->metrics.SetState(
      "answers_cut", static_cast<double>(this->server->InterruptedResponses()));
  this->metrics.SetState("view_age_ms",
                         static_cast<double>(this->gate.ViewAgeMs()));
}

HostProcess::HostProcess(const Settings& settings, const SecretKeys& keys)
    : impl(std::make_unique<Impl>(settings, keys)) {}

HostProcess::~HostProcess() = default;

absl::Status HostProcess::Start() { return this->impl->Start(); }

void HostProcess::Stop(int times) { this->impl->Stop(times); }

}  // namespace meadowthread
