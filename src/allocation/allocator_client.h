#ifndef MEADOWTHREAD_ALLOCATION_ALLOCATOR_CLIENT_H_
#define MEADOWTHREAD_ALLOCATION_ALLOCATOR_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "allocation/allocation_channel.h"
#include "allocation/engine_groups.h"
#include "base/clock.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "policy/engine_allocation.h"
#include "policy/fleet_state.h"
#include "policy/requested_backoffs.h"
#include "policy/server_permits.h"
#include "policy/server_rate_limiter.h"

namespace meadowthread {

/// @brief Name and availability zone of a host.
struct HostLocation {
  std::string host;
  std::string zone;
};

/// @brief Asks a group's allocators for an engine, one after the other, and
/// chooses locally if none of them responds.
class AllocatorClient final : public EngineAllocation {
 public:
  /// @param[in] local chooses engines if no allocator is asked or none responds
  /// @param[in] groups,fleet,local,channel,scheduler,clock must outlive this
  AllocatorClient(HostLocation self, const EngineGroups& groups,
                  const FleetState& fleet, EngineAllocation& local,
                  AllocationChannel& channel, Scheduler& scheduler,
                  const Clock& clock);
  AllocatorClient(const AllocatorClient&) = delete;
  AllocatorClient& operator=(const AllocatorClient&) = delete;

  /// @brief Excludes engines at which this host has used up its share of the
  /// rate limit for new requests.
  /// @param[in] with must outlive this
  void SetArrivals(const ServerRateLimiter& with) { this->arrivals = &with; }
  /// @brief Sets the permits of servers that name a rate.
  /// @param[in] with outlives this
  void SetPermits(const ServerPermits& with) { this->permits = &with; }

  /// @brief Sets the servers that have asked this host to back off.
  /// @param[in] with must outlive this
  void SetBackoffs(const RequestedBackoffs& with) { this->backoffs = &with; }

  /// @brief Sets whether allocators are asked to choose engines; if not, this
  /// host chooses locally.
  void SetUsesAllocators(bool is_shared) { this->is_shared = is_shared; }

  /// @brief Records that a message came from the host, which therefore is asked
  /// again if it had not responded before.
  void NoteHeard(std::string_view host);

  /// @brief Handles an allocator's response; late and duplicate ones are
  /// ignored.
  void OnResponse(const PlacementResponse& response);

  // EngineAllocation
  void Choose(const WorkItem& work, const Chosen& chosen) override;
  bool IsShared() const override { return this->is_shared; }
  void RequestMigration(const MigrationRequest& move,
                        const Chosen& granted) override;
  void EndMigration(const MigrationRequest& move) override;

 private:
  struct Pending {
    PlacementRequest request;
    Chosen chosen;
    std::vector<std::string> allocators;
    /// Allocators asked or skipped so far, the current one included.
    std::size_t tried = 0;
    int attempts = 0;  ///< a timeout of an older attempt is ignored
    int rejected_engines = 0;
    bool is_queued = false;
    std::int64_t started_ms = 0;
  };
  struct HeldLink {
    std::string host;
    std::uint64_t ticket = 0;
  };

  void Begin(PlacementRequest request, const Chosen& chosen);
  void AskNextAllocator(std::uint64_t ticket);
  void SendRequest(std::uint64_t ticket);
  void OnTimeout(std::uint64_t ticket, int attempt);
  void OnPlaced(std::uint64_t ticket, const PlacementResponse& response);
  void Finish(std::uint64_t ticket, const Decision& decision);
  void FallBack(std::uint64_t ticket);
  void StartTimeout(std::uint64_t ticket, std::int64_t delay_ms);
  std::vector<std::string> LocallyUnusableEngines() const;
  bool HasUsedUpArrivalShare(std::string_view engine) const;
  bool HasUsedUpPermits(std::string_view engine) const;
  bool IsInBackoff(std::string_view engine) const;
  bool IsSuspect(const std::string& host) const;

  HostLocation self;
  const EngineGroups& groups;
  const FleetState& fleet;
  EngineAllocation& local;
  const ServerRateLimiter* arrivals = nullptr;  ///< null: no limits
  const ServerPermits* permits = nullptr;       ///< null: no limits
  const RequestedBackoffs* backoffs = nullptr;  ///< null: none asked
  AllocationChannel& channel;
  Scheduler& scheduler;
  const Clock& clock;
  bool is_shared = false;
  std::uint64_t last_ticket = 0;
  std::map<std::uint64_t, Pending> pending;
  std::map<std::string, HeldLink, std::less<>> held_links;  ///< by request id
  /// Allocators that did not respond, and until when they are not asked.
  std::map<std::string, std::int64_t, std::less<>> suspects;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ALLOCATION_ALLOCATOR_CLIENT_H_
