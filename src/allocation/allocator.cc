#include "allocation/allocator.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"

namespace meadowthread {
namespace {

// A load report that arrives this long after a placement includes it, even if
// the counts do not show it: the time covers a round trip within a zone and one
// period of the report timer.
constexpr std::int64_t kReportLagMs = 40;
// A reservation expires if no load report has covered it for this long: the
// placement was not used, or the report was lost and later reports include the
// request again. Hosts that have used up their share of CPU time stall for less
// than this.
constexpr std::int64_t kReservationMs = 300;
// A group's pressure is ignored if it was received longer ago than this. It is
// sent every quarter of a second, so three messages in a row may be lost.
// Queued migrations that were not renewed for this long are dropped as well.
constexpr std::int64_t kMaxPressureAgeMs = 1'000;
// A request is forwarded to another group only if an engine there is cheaper by
// more than this, about a third of an engine's memory: if that group is in
// another zone, the streams of its engines and migrations to and from them
// cross between zones.
constexpr double kCrossGroupCost = 0.3;
// Each request forwarded to another group raises the pressure that this host
// assumes for that group by this much, until the group reports again. The
// prefill of one prompt adds little when spread over a few dozen engines, but
// several groups see the same low pressure and forward there at the same time.
constexpr double kForwardCost = 0.1;

PlacementResponse ResponseOf(const PlacementRequest& request,
                             const Decision& decision) {
  PlacementResponse response;
  response.ticket = request.ticket;
  if (!decision.considered.empty()) {
    const Candidate& best = decision.considered.front();
    response.engine = best.engine;
    response.cost = best.cost;
    response.memory_share = best.overfill_chance;
    response.in_flight = best.in_flight;
    response.first_event_ms = std::max<std::int64_t>(0, best.first_event_ms);
  }
  if (decision.engine.has_value()) {
    response.status = PlacementStatus::kPlaced;
    response.engine = *decision.engine;
    response.prefill_tokens_ahead =
        std::max<std::int64_t>(0, decision.prefill_ahead_tokens);
  } else {
    response.status = decision.reason == DecisionReason::kNoneHasRoom
                          ? PlacementStatus::kNoRoom
                          : PlacementStatus::kNoEngine;
  }
  return response;
}

}  // namespace

Allocator::Allocator(std::string_view self, const PressureOptions& options,
                     FleetState& fleet, const EngineGroups& groups)
    : self(self), options(options), fleet(fleet), groups(groups) {}

AllocatorResult Allocator::Allocate(const PlacementRequest& request,
                                    std::int64_t now_ms, std::uint64_t random) {
  if (!this->IsReady(now_ms) ||
      !this->groups.IsAllocator(this->self, request.group)) {
    PlacementResponse declined;
    declined.ticket = request.ticket;
    return {declined, ""};
  }
  if (!request.source.empty()) {
    return this->AllocateMigration(request, now_ms, random);
  }
  const Decision decision = this->ChooseEngine(request, now_ms, random);
  const std::string forward_to =
      this->LessLoadedGroup(request, decision, now_ms);
  if (!forward_to.empty()) {
    return {PlacementResponse{}, forward_to};
  }
  if (decision.engine.has_value()) {
    this->Reserve(request, *decision.engine, now_ms);
  }
  this->last_work[request.group] = request.work;
  PlacementResponse response = ResponseOf(request, decision);
  response.was_forwarded = request.is_forwarded;
  return {response, ""};
}

bool Allocator::HasArrivalShare(std::string_view host,
                                std::string_view engine) const {
  return host.empty() || this->arrivals == nullptr ||
         this->arrivals->HasShare(host, engine,
                                  this->arrivals_clock->MonotonicMs());
}

Decision Allocator::ChooseEngine(const PlacementRequest& request,
                                 std::int64_t now_ms, std::uint64_t random) {
  PressureOptions group_options = this->options;
  // All engines of a group are in the same zone.
  group_options.zone_cost = 0.0;
  // Only this allocator places work on the group, so it can take the best
  // engine. Random choice among near-equal engines is needed only if several
  // hosts choose.
  group_options.near_equal = 0.0;
  // Prefer migration targets whose link carries no other copy.
  if (!request.source.empty()) {
    group_options.busy_link_cost = kBusyLinkCost;
  }
  PressureChooser chooser(group_options);
  chooser.SetEngineFilter([this, &request](const EngineView& view) {
    const bool is_avoided =
        std::find(request.avoid.begin(), request.avoid.end(), view.engine) !=
        request.avoid.end();
    return !is_avoided && this->HasArrivalShare(request.origin, view.engine) &&
           this->groups.GroupOf(view) == request.group;
  });
  return chooser.Choose(request.work, this->fleet, now_ms, random);
}

// Returns the group to forward the request to, or an empty string. A request is
// forwarded, at most once, if no engine is usable here or another group is
// cheaper by more than kCrossGroupCost.
std::string Allocator::LessLoadedGroup(const PlacementRequest& request,
                                       const Decision& decision,
                                       std::int64_t now_ms) {
  if (!request.may_forward || request.is_forwarded) {
    return "";
  }
  ReportedPressure* best = nullptr;
  std::string_view best_group;
  for (auto& [group, pressure] : this->pressures) {
    const bool is_fresh = now_ms - pressure.reported_ms <= kMaxPressureAgeMs;
    const bool may_take =
        group != request.group &&
        EngineGroups::ServiceOf(group) == request.work.service;
    if (is_fresh && may_take &&
        (best == nullptr || pressure.cost < best->cost)) {
      best = &pressure;
      best_group = group;
    }
  }
  const bool is_better =
      best != nullptr &&
      (decision.considered.empty() ||
       best->cost + kCrossGroupCost < decision.considered.front().cost);
  if (!is_better) {
    return "";
  }
  best->cost += kForwardCost;
  return std::string(best_group);
}

// Until the host reports the request, its reservation counts as the load of an
// additional peer.
void Allocator::Reserve(const PlacementRequest& request,
                        const std::string& engine, std::int64_t now_ms) {
  if (request.origin == this->self) {
    return;  // this host's own requests are in the fleet state already
  }
  Reservation reservation{
      request.origin, engine,
      absl::StrCat(request.origin, "/", ++this->last_reservation), now_ms,
      this->RequestsOf(request.origin, engine, now_ms)};
  PeerLoad load;
  load.peer = reservation.name;
  load.engine = engine;
  load.as_of_unix_ms = now_ms;
  load.in_flight = 1;
  load.reading = request.work.is_copy ? 0 : request.work.prompt_tokens;
  load.copies = request.work.is_copy ? 1 : 0;
  load.forecast.AddStream(
      {request.work.prompt_tokens, 0, request.work.max_output_tokens},
      *this->fleet.Lengths().CurveOf(LengthKeyOf(request.work)));
  this->fleet.NotePeerLoad(load, now_ms);
  this->reservations.push_back(std::move(reservation));
}

void Allocator::DropReservation(const Reservation& reservation) {
  this->fleet.ForgetPeerLoad(reservation.engine, reservation.name);
}

// Number of the host's requests at the engine: those that it reported, and its
// reservations.
std::int64_t Allocator::RequestsOf(std::string_view host,
                                   std::string_view engine,
                                   std::int64_t now_ms) const {
  std::int64_t requests = 0;
  for (const PeerLoad& load : this->fleet.PeersAt(engine, now_ms)) {
    requests += load.peer == host ? load.in_flight : 0;
  }
  return requests + std::count_if(this->reservations.begin(),
                                  this->reservations.end(),
                                  [&](const Reservation& reservation) {
                                    return reservation.host == host &&
                                           reservation.engine == engine;
                                  });
}

// If the host reports more requests than before the reservation, its report
// includes the new one. If not, either an older request has ended, or the
// report was sent before the host got the placement; kReportLagMs decides
// between the two.
void Allocator::ConfirmReservations(std::string_view host,
                                    std::span<const EngineLoadNote> notes,
                                    std::int64_t now_ms) {
  std::erase_if(this->reservations, [&](const Reservation& reservation) {
    const auto found = std::find_if(notes.begin(), notes.end(),
                                    [&reservation](const EngineLoadNote& note) {
                                      return note.engine == reservation.engine;
                                    });
    const bool is_covered = reservation.host == host && found != notes.end() &&
                            (found->in_flight > reservation.requests_before ||
                             now_ms - reservation.reserved_ms >= kReportLagMs);
    if (is_covered) {
      this->DropReservation(reservation);
    }
    return is_covered;
  });
}

/////////////
// Migrations
/////////////

AllocatorResult Allocator::AllocateMigration(const PlacementRequest& request,
                                             std::int64_t now_ms,
                                             std::uint64_t random) {
  const MigrationId migration{request.origin, request.ticket};
  if (this->links.Request(request.source, migration, now_ms)) {
    this->queued_migrations.erase({migration.host, migration.ticket});
    return {this->ReserveTarget(request, now_ms, random), ""};
  }
  this->queued_migrations[{migration.host, migration.ticket}] = {request,
                                                                 now_ms};
  PlacementResponse queued;
  queued.ticket = request.ticket;
  queued.status = PlacementStatus::kQueued;
  return {queued, ""};
}

PlacementResponse Allocator::ReserveTarget(const PlacementRequest& request,
                                           std::int64_t now_ms,
                                           std::uint64_t random) {
  const Decision decision = this->ChooseEngine(request, now_ms, random);
  if (decision.engine.has_value()) {
    this->Reserve(request, *decision.engine, now_ms);
  }
  return ResponseOf(request, decision);
}

std::vector<LinkGrant> Allocator::GrantLinks(std::int64_t now_ms,
                                             std::uint64_t random) {
  std::set<std::string> engines;
  for (const auto& [id, queued] : this->queued_migrations) {
    engines.insert(queued.request.source);
  }
  std::vector<LinkGrant> granted;
  for (const std::string& engine : engines) {
    const std::optional<MigrationId> next =
        this->links.GrantNext(engine, now_ms);
    if (!next.has_value()) {
      continue;
    }
    const auto queued =
        this->queued_migrations.find({next->host, next->ticket});
    if (queued == this->queued_migrations.end()) {
      this->links.Release(engine, *next);
      continue;
    }
    granted.push_back(
        {*next, this->ReserveTarget(queued->second.request, now_ms, random)});
    this->queued_migrations.erase(queued);
  }
  return granted;
}

//////////////////////////
// Pressure and expiration
//////////////////////////

std::optional<GroupPressure> Allocator::MinPressure(std::string_view group,
                                                    std::int64_t now_ms) {
  const auto work = this->last_work.find(group);
  if (work == this->last_work.end()) {
    return std::nullopt;
  }
  PlacementRequest request;
  request.group = std::string(group);
  request.work = work->second;
  const Decision decision = this->ChooseEngine(request, now_ms, 0);
  // A group without room must not attract requests from other groups, so it
  // reports no pressure.
  if (!decision.engine.has_value()) {
    return std::nullopt;
  }
  return GroupPressure{request.group, decision.considered.front().cost};
}

void Allocator::DropExpired(std::int64_t now_ms) {
  this->links.DropExpired(now_ms);
  std::erase_if(this->queued_migrations, [now_ms](const auto& entry) {
    return now_ms - entry.second.queued_ms > kMaxPressureAgeMs;
  });
  while (!this->reservations.empty() &&
         now_ms - this->reservations.front().reserved_ms > kReservationMs) {
    this->DropReservation(this->reservations.front());
    this->reservations.pop_front();
  }
}

}  // namespace meadowthread
