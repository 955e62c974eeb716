#ifndef MEADOWTHREAD_SERVE_DETAIL_RELAY_HOST_IMPL_H_
#define MEADOWTHREAD_SERVE_DETAIL_RELAY_HOST_IMPL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "allocation/allocation_participant.h"
#include "configuration/replicated_view.h"
#include "configuration/view_watcher.h"
#include "exchange/datagrams.h"
#include "exchange/load_datagrams.h"
#include "exchange/stop_datagrams.h"
#include "exchange/view_datagrams.h"
#include "forwarding/forward_service.h"
#include "forwarding/forwarding_client.h"
#include "forwarding/path_prober.h"
#include "net/http_server.h"
#include "net/listen_probe.h"
#include "net/pooled_client.h"
#include "net/qt_scheduler.h"
#include "permits/borrowing_allocation.h"
#include "permits/notice_gossip.h"
#include "permits/permit_participant.h"
#include "permits/share_loans.h"
#include "policy/length_model.h"
#include "policy/local_allocation.h"
#include "policy/pressure_chooser.h"
#include "policy/stop_plan.h"
#include "quarantine/crash_gossip.h"
#include "quarantine/quarantine.h"
#include "relay/relay.h"
#include "rollout/rollout_participant.h"
#include "serve/crash_record_store.h"
#include "serve/dead_host_detector.h"
#include "serve/entry_host_registry.h"
#include "serve/exchange_participant.h"
#include "serve/fleet_load_adapter.h"
#include "serve/gossip_datagrams.h"
#include "serve/invalid_entry_reporter.h"
#include "serve/relay_host.h"
#include "serve/relay_metrics.h"
#include "serve/steady_clock.h"
#include "serve/store_stall_detector.h"
#include "serve/store_uptime_exchange.h"
#include "serve/text_service.h"
#include "serve/unreported_stream_estimator.h"
#include "serve/watch_heartbeats.h"
#include "serve/watcher_selection.h"

namespace meadowthread {

/// @brief The components of one host, declared in the order of their
/// dependencies.
class RelayHost::Impl : public StopView, public VersionedTraffic {
 public:
  Impl(const RelaySettings& with, RelayPlatform& on);

  absl::Status Start();
  void Stop();
  void Reload(const RelaySettings& with);

  // StopView
  std::int64_t ReturnAfterMs() const override;

  // VersionedTraffic
  bool AreOthersIdle(std::string_view service,
                     std::string_view target_version) const override;
  std::vector<std::string> OtherVersions(
      std::string_view service, std::string_view target_version) const override;
  void Restrict(std::string_view service,
                const VersionRestrictions& restrictions) override;
  std::vector<std::string> HostNames() const override;

 private:
  void ApplyViewChange(const ViewChange& change);
  void OnViewEra(std::string_view kind);
  void ApplyRoutingConfig(const StoredObject& object);
  void ReportReadResult(const StoredObject& object, const absl::Status& read);
  void ApplyBackendEntry(const StoredObject& object);
  void ApplyRollout(const StoredObject& object);
  bool HandlesRollouts() const;
  bool MayServe() const;
  bool ChangesToUnknownService(const BackendEntry& entry) const;
  void RetryInvalidBackends();
  bool IsLoaded(std::string_view kind) const;
  void ApplyPendingConfig();
  void LogUnknownRegions(const RoutingConfig& in_force) const;
  ServerRateLimit RateLimitOf(const Backend& backend) const;
  void DivideRateLimits();
  std::vector<std::string> SharingHosts() const;
  void OnBackendChange(BackendChange change, const Backend& backend);
  void ApplyHosts(const std::vector<EntryHost>& hosts);
  std::vector<WatchPeer> AnsweringPeers() const;
  std::optional<int> WatchIndex() const;
  std::vector<std::string> OtherStoreReaders() const;
  bool IsWatcher() const;
  bool IsZoneWatcher() const;
  std::int64_t StaggerMs() const;
  WatchDuties MakeWatchDuties();
  static std::vector<std::string> UrgentKinds(const RelayObjectKinds& kinds);
  absl::Status Listen();
  std::string MetricsText();
  void SetPathStates();
  static std::string MakeForwardKey();
  void UpdateUnreportedStreams();
  void PollEnginesDuringStall();
  std::vector<AllocatorHost> AllocatorHosts() const;
  std::vector<std::string> PermitHosts() const;
  std::vector<ForwardPeer> FitForwardPeers() const;
  bool AcceptsRequests(std::string_view address) const;
  std::vector<std::string> ServerAddresses() const;
  ForwardServiceOptions ForwardOptions();
  void NoteForwardedHead(std::string_view address, int http_status,
                         std::span<const HttpHeader> headers);
  void ConnectEngineKnowledge();
  void ReportAttempt(const HealthUpdate& update);
  void CheckPropagationDelays() const;
  void ApplyConfiguration();
  void AdvanceStop();

  RelaySettings settings;
  RelayPlatform& platform;
  SteadyClock clock;
  std::mt19937_64 random{std::random_device{}()};
  QtScheduler scheduler;
  PooledClient store_client;
  PooledClient client;
  PathMonitor path{this->clock};
  ForwardingClient routed_client;
  std::string forward_key;
  std::vector<ForwardPeer> forward_peers;
  std::unique_ptr<ObjectStore> store;
  std::vector<std::string_view> kinds;
  ReplicatedView view;
  ViewWatcher feeder;
  HostDirectory hosts;
  ExchangeParticipant exchange;
  EntryHostRegistry host_registry;
  ActiveRoutingConfig routing_config;
  StoreOutageTracker store_outages;
  BackendList backends;
  BackendHealth health;
  RetryBudgets budgets;
  RelayMetrics metrics;
  InvalidEntryReporter invalid_entries;
  LearnedLengthModel lengths;
  FleetState fleet;
  DeadHostDetector dead_hosts;
  FleetLoadAdapter load_adapter;
  DatagramHub hub;
  StopDatagrams stop_datagrams;
  StoreStallDetector store_stalls;
  StoreUptimeExchange store_uptimes;
  ViewDatagrams view_datagrams;
  WatchHeartbeats watch_heartbeats;
  QtListenProbe listen_check;
  PathAwareProbe crash_check;
  PathProber path_prober;
  Quarantine quarantine;
  ServerRateLimiter rate_limiter;
  GossipDatagrams gossip;
  PermitParticipant permits;
  RequestedBackoffs backoffs;
  StopAdmission stops;
  AnswerMemory answer_memory;
  NoticeGossip notices;
  CrashGossip crash_gossip;
  CrashRecordStore crash_records;
  UnreportedStreamEstimator unreported_streams;
  PressureChooser chooser;
  LocalAllocation local_allocation;
  AllocationParticipant allocation;
  ShareLoans share_loans;
  BorrowingAllocation borrowing_allocation;
  LoadDatagrams load_datagrams;
  Dispatcher dispatcher;
  FirstAttemptTimeEstimator first_attempts;
  StreamAdmission admission;
  LinkQuality links;
  std::unique_ptr<RolloutStatusStore> rollout_store;
  RolloutParticipant rollouts;
  std::unique_ptr<EngineControl> control;
  Relay relay;
  ForwardService forward_service;
  ReadyService ready_service;
  TextService metrics_service;
  HttpServer server;
  HttpServer ready_server;
  HttpServer metrics_server;
  HttpServer forward_server;
  std::optional<StopPlan> stop_plan;  ///< nullopt: not stopping
  bool exiting = false;
  bool may_serve = false;            ///< see MayServe()
  bool rate_limits_divided = false;  ///< done among known hosts
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_DETAIL_RELAY_HOST_IMPL_H_
