#ifndef MEADOWTHREAD_SERVE_DETAIL_RELAY_HOST_PARTS_H_
#define MEADOWTHREAD_SERVE_DETAIL_RELAY_HOST_PARTS_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "allocation/allocation_participant.h"
#include "configuration/replicated_view.h"
#include "configuration/view_feeder.h"
#include "exchange/datagrams.h"
#include "exchange/load_datagrams.h"
#include "exchange/stop_datagrams.h"
#include "exchange/view_datagrams.h"
#include "net/http_server.h"
#include "net/listen_check.h"
#include "net/pooled_client.h"
#include "net/qt_scheduler.h"
#include "policy/length_model.h"
#include "policy/local_allocation.h"
#include "policy/pressure_chooser.h"
#include "policy/stop_plan.h"
#include "quarantine/crash_gossip.h"
#include "quarantine/quarantine.h"
#include "relay/relay.h"
#include "serve/choice_spread.h"
#include "serve/crash_datagrams.h"
#include "serve/exchange_duty.h"
#include "serve/gone_hosts.h"
#include "serve/host_entries.h"
#include "serve/load_notes.h"
#include "serve/quarantine_entries.h"
#include "serve/refused_entries.h"
#include "serve/relay_host.h"
#include "serve/relay_metrics.h"
#include "serve/steady_clock.h"
#include "serve/store_contact.h"
#include "serve/store_silence.h"
#include "serve/text_service.h"
#include "serve/watcher_choice.h"

namespace meadowthread {

/// @brief The slices of one host, in the order in which they depend on each
/// other.
class RelayHost::Parts : public StopView {
 public:
  Parts(const RelaySettings& with, RelayPlatform& on);

  absl::Status Start();
  void Stop();
  void Reload(const RelaySettings& with);

  // StopView
  std::int64_t ReturnAfterMs() const override;

 private:
  void TakeView(const ViewChange& change);
  void TakePlan(const StoredObject& object);
  void NoteRead(const StoredObject& object, const absl::Status& read);
  void TakeBackend(const StoredObject& object);
  bool IsOfUnknownService(const BackendEntry& entry) const;
  void TakeSetAsideAgain();
  bool IsKnown(std::string_view kind) const;
  void TakeWaitingPlan();
  void CheckHomes(const RoutingConfig& in_force) const;
  ServerRateLimit ArrivalRuleOf(const Backend& backend) const;
  void ShareArrivals();
  void TakeBackendChange(BackendChange change, const Backend& backend);
  void TakeHosts(const std::vector<EntryHost>& hosts);
  std::vector<WatchPeer> AnsweringPeers() const;
  std::optional<int> WatchPlace() const;
  std::vector<std::string> OtherReaders() const;
  bool IsWatcher() const;
  bool WatchesZones() const;
  std::int64_t StaggerMs() const;
  std::string MetricsText();
  void SpreadChoices();
  void AskWhileSilent();
  std::vector<AllocatorHost> AllocatorHosts() const;
  void CheckWaits() const;
  void ApplyBounds();
  void GoOnStopping();

  RelaySettings settings;
  RelayPlatform& platform;
  SteadyClock clock;
  std::mt19937_64 random{std::random_device{}()};
  QtScheduler scheduler;
  PooledClient store_client;
  PooledClient client;
  std::unique_ptr<ObjectStore> store;
  std::array<std::string_view, 5> kinds;
  ReplicatedView view;
  ViewFeeder feeder;
  HostDirectory hosts;
  ExchangeDuty exchange;
  HostEntries entries;
  ActiveRoutingConfig plan;
  StoreOutageTracker absence;
  BackendList backends;
  BackendHealth health;
  RetryBudgets budgets;
  RelayMetrics metrics;
  RefusedEntries refused;
  LearnedLengthModel lengths;
  FleetState fleet;
  GoneHosts gone_hosts;
  LoadNotes load_notes;
  DatagramHub hub;
  StopDatagrams stop_datagrams;
  StoreSilence silence;
  StoreContact contact;
  ViewDatagrams view_datagrams;
  QtListenCheck listen_check;
  Quarantine quarantine;
  ServerRateLimiter arrivals;
  CrashDatagrams crash_datagrams;
  CrashGossip crash_words;
  QuarantineEntries quarantine_entries;
  ChoiceSpread spread;
  PressureChooser chooser;
  LocalAllocation local_allocation;
  AllocationParticipant allocation;
  LoadDatagrams load_datagrams;
  Dispatcher dispatcher;
  FirstAttemptEstimator first_tries;
  StreamAdmission admission;
  LinkQuality links;
  std::unique_ptr<EngineControl> control;
  Relay relay;
  ReadyService ready_service;
  TextService metrics_service;
  HttpServer server;
  HttpServer ready_server;
  HttpServer metrics_server;
  std::optional<StopPlan> stop_plan;  ///< none: not stopping
  bool left = false;
  bool zones_known = false;      ///< which are emptied, since this host's start
  bool arrivals_shared = false;  ///< among the hosts that are known
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_DETAIL_RELAY_HOST_PARTS_H_
