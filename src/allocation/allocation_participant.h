#ifndef MEADOWTHREAD_ALLOCATION_ALLOCATION_PARTICIPANT_H_
#define MEADOWTHREAD_ALLOCATION_ALLOCATION_PARTICIPANT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "allocation/allocation_datagrams.h"
#include "allocation/allocator.h"
#include "allocation/allocator_client.h"
#include "allocation/engine_groups.h"
#include "base/lifetime.h"
#include "exchange/load_note.h"
#include "policy/server_permits.h"

namespace meadowthread {

/// @brief Objects of the host that an AllocationParticipant uses.
struct AllocationDependencies {
  DatagramHub& hub;
  FleetState& fleet;
  EngineAllocation& local;  ///< chooses engines if no allocator does
  LoadSink& loads;          ///< is passed the loads of other hosts
  Scheduler& scheduler;
  const Clock& clock;
  const ServerRateLimiter& arrivals;
  const ServerPermits& permits;
  std::mt19937_64& random;
};

/// @brief Settings of an AllocationParticipant.
struct AllocationOptions {
  HostLocation self;
  PressureOptions pressure;
  /// With at most this many hosts, every host sends its loads to all others and
  /// chooses engines itself. With more hosts, allocators choose, because the
  /// traffic among all hosts grows with the square of their number.
  std::size_t direct_hosts = 0;
};

/// @brief One host's part in the distributed allocation of engines: it asks
/// allocators to place the host's own requests, and is the allocator of the
/// engine groups that are assigned to this host.
class AllocationParticipant final : public AllocationReceiver,
                                    public LoadSink,
                                    public LoadRecipients {
 public:
  using AttemptListener = std::function<void(const EngineAttempt& attempt)>;

  /// @param[in] dependencies must all outlive this
  AllocationParticipant(const AllocationOptions& options,
                        const AllocationDependencies& dependencies);
  AllocationParticipant(const AllocationParticipant&) = delete;
  AllocationParticipant& operator=(const AllocationParticipant&) = delete;

  /// @brief Sets the listener for results of other hosts' attempts at engines
  /// of this host's groups.
  void OnAttempt(const AttemptListener& listener) {
    this->on_attempt = listener;
  }

  /// @brief Sets the function that reports all loads of this host; called when
  /// another host asks for them.
  void SetLoadReporter(const std::function<void()>& report) {
    this->report_all_loads = report;
  }

  /// @brief Starts the periodic work.
  /// @param[in] hosts returns the hosts that may be allocators now
  void Start(const std::function<std::vector<AllocatorHost>()>& hosts);

  /// @brief Sends the result of one of this host's attempts to the engine's
  /// allocators.
  void ReportAttempt(const EngineAttempt& attempt);

  /// @brief Records that a message of any kind came from another host.
  void NoteHeard(std::string_view host) { this->client.NoteHeard(host); }

  /// @brief Sends a prefill measurement, taken at the first event of one of
  /// this host's streams, to the engine's allocators.
  void ReportPrefill(const PrefillObservation& seen);

  /// @brief Sends a measurement of an engine's speed, taken over this host's
  /// streams, to the engine's allocators.
  void ReportSpeed(const SpeedObservation& seen);

  /// @brief Chooses engines for this host's own requests.
  EngineAllocation& Allocation() { return this->client; }

  /// @brief Sets the servers that have asked this host to back off.
  /// @param[in] backoffs must outlive this
  void SetBackoffs(const RequestedBackoffs& backoffs) {
    this->client.SetBackoffs(backoffs);
  }

  /// @brief Number of groups that this host is an allocator of.
  std::size_t OwnGroupCount() const { return this->own_groups.size(); }

  // AllocationReceiver
  void OnMessage(std::string_view host,
                 const PlacementRequest& request) override;
  void OnMessage(std::string_view host,
                 const PlacementResponse& response) override;
  void OnMessage(std::string_view host, const LinkRelease& release) override;
  void OnMessage(std::string_view host, const GroupPressure& pressure) override;
  void OnMessage(std::string_view host, const EngineAttempt& attempt) override;
  void OnMessage(std::string_view host,
                 const PrefillObservation& seen) override;
  void OnMessage(std::string_view host, const SpeedObservation& seen) override;
  void OnLoadReportsRequested() override;

  // LoadSink
  void OnNotes(std::string_view host,
               std::span<const EngineLoadNote> notes) override;

  // LoadRecipients
  bool IsEverybody() const override { return !this->client.IsShared(); }
  std::vector<std::string> HostsFor(std::string_view engine) const override;

 private:
  void Tick();
  bool WasStalled() const;
  void UpdateHosts();
  void LogSpeedChange();
  void UpdateOwnGroups(bool was_stalled);
  template <typename Message>
  void SendToAllocators(const Message& message);
  void SendPressures();
  std::vector<std::string> DrawPressureReceivers(std::string_view own);
  void GrantLinks();

  AllocationOptions options;
  AllocationDependencies dependencies;
  EngineGroups groups;
  AllocationDatagrams channel;
  Allocator allocator;
  AllocatorClient client;
  AttemptListener on_attempt;
  std::function<void()> report_all_loads;
  std::function<std::vector<AllocatorHost>()> current_hosts;
  std::set<std::string> own_groups;
  std::int64_t last_tick_ms = 0;
  std::int64_t last_heartbeat_ms = 0;
  bool were_speeds_uneven = false;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ALLOCATION_ALLOCATION_PARTICIPANT_H_
