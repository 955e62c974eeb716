#ifndef MEADOWTHREAD_ALLOCATION_ALLOCATOR_H_
#define MEADOWTHREAD_ALLOCATION_ALLOCATOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "allocation/allocation_messages.h"
#include "allocation/engine_groups.h"
#include "allocation/link_queues.h"
#include "base/clock.h"
#include "exchange/load_note.h"
#include "policy/fleet_state.h"
#include "policy/pressure_chooser.h"
#include "policy/server_rate_limiter.h"

namespace meadowthread {

/// @brief What an allocator does with a PlacementRequest: it responds, or
/// forwards the request to another group.
struct AllocatorResult {
  PlacementResponse response;  ///< only where forward_to is empty
  std::string forward_to;      ///< a group whose allocator is to respond
};

/// @brief A queued migration that may begin now.
struct LinkGrant {
  MigrationId migration;
  PlacementResponse response;
};

/// @brief Places requests on the engines of the groups that this host is an
/// allocator of.
///
/// Guards against overload of single engines: when hundreds of hosts choose
/// among the same engines from load reports that are two seconds old, they send
/// their streams to the same engine, where these queue. An allocator counts
/// each placement at once, as a reservation. All of its state can be rebuilt
/// from load reports: after a start or a stall it declines requests until the
/// other hosts have reported.
class Allocator {
 public:
  /// @param[in] self this host's name
  /// @param[in] fleet,groups must outlive this
  Allocator(std::string_view self, const PressureOptions& options,
            FleetState& fleet, const EngineGroups& groups);
  Allocator(const Allocator&) = delete;
  Allocator& operator=(const Allocator&) = delete;

  /// @brief Limits the rate of new requests at each engine: a request is placed
  /// only on an engine at which the requesting host has a share of the rate
  /// limit.
  /// @param[in] with,clock must outlive this
  void SetArrivals(const ServerRateLimiter& with, const Clock& clock) {
    this->arrivals = &with;
    this->arrivals_clock = &clock;
  }

  /// @brief Sets the time from which the load data is complete; until then
  /// requests are declined.
  void SetReadyFrom(std::int64_t from_ms) { this->ready_from_ms = from_ms; }

  bool IsReady(std::int64_t now_ms) const {
    return now_ms >= this->ready_from_ms;
  }

  /// @brief Chooses an engine for a request and reserves room on it.
  /// @param[in] random breaks ties between engines
  AllocatorResult Allocate(const PlacementRequest& request, std::int64_t now_ms,
                           std::uint64_t random);

  /// @brief Frees the link of an engine whose migration is over or was
  /// withdrawn.
  void ReleaseLink(std::string_view host, const LinkRelease& release) {
    this->links.Release(release.engine, {std::string(host), release.ticket});
  }

  /// @brief Chooses targets for the queued migrations whose links are free now.
  std::vector<LinkGrant> GrantLinks(std::int64_t now_ms, std::uint64_t random);

  /// @brief Drops the reservations that a host's load report now covers. The
  /// fleet state must include the report already.
  void ConfirmReservations(std::string_view host,
                           std::span<const EngineLoadNote> notes,
                           std::int64_t now_ms);

  /// @brief Records the pressure that another group's allocator reported.
  void UpdatePressure(const GroupPressure& pressure, std::int64_t now_ms) {
    this->pressures[pressure.group] = {pressure.cost, now_ms};
  }

  /// @brief The lowest cost of placing work like the group's last request;
  /// nullopt if there was none yet, or no engine of the group has room.
  std::optional<GroupPressure> MinPressure(std::string_view group,
                                           std::int64_t now_ms);

  /// @brief Drops expired reservations and queued migrations.
  void DropExpired(std::int64_t now_ms);

 private:
  struct Reservation {
    std::string host;
    std::string engine;
    std::string name;  ///< the peer name under which the fleet state holds this
                       ///< reservation as a PeerLoad
    std::int64_t reserved_ms = 0;
    /// Requests of the host at the engine before this one.
    std::int64_t requests_before = 0;
  };
  struct ReportedPressure {
    double cost = 0.0;
    std::int64_t reported_ms = 0;
  };
  struct QueuedMigration {
    PlacementRequest request;
    std::int64_t queued_ms = 0;
  };

  bool HasArrivalShare(std::string_view host, std::string_view engine) const;
  Decision ChooseEngine(const PlacementRequest& request, std::int64_t now_ms,
                        std::uint64_t random);
  AllocatorResult AllocateMigration(const PlacementRequest& request,
                                    std::int64_t now_ms, std::uint64_t random);
  PlacementResponse ReserveTarget(const PlacementRequest& request,
                                  std::int64_t now_ms, std::uint64_t random);
  std::string LessLoadedGroup(const PlacementRequest& request,
                              const Decision& decision, std::int64_t now_ms);
  void Reserve(const PlacementRequest& request, const std::string& engine,
               std::int64_t now_ms);
  void DropReservation(const Reservation& reservation);
  std::int64_t RequestsOf(std::string_view host, std::string_view engine,
                          std::int64_t now_ms) const;

  std::string self;
  PressureOptions options;
  FleetState& fleet;
  const EngineGroups& groups;
  const ServerRateLimiter* arrivals = nullptr;  ///< null: no limits
  const Clock* arrivals_clock = nullptr;
  LinkQueues links;
  std::deque<Reservation> reservations;
  std::map<std::string, ReportedPressure, std::less<>> pressures;
  std::map<std::string, WorkItem, std::less<>> last_work;  ///< by group
  std::map<std::pair<std::string, std::uint64_t>, QueuedMigration>
      queued_migrations;
  std::uint64_t last_reservation = 0;
  std::int64_t ready_from_ms = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ALLOCATION_ALLOCATOR_H_
