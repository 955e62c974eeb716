#include "policy/pressure_chooser.h"

#include <algorithm>
#include <cmath>

namespace meadowthread {
namespace {

constexpr std::size_t kMaxReportedCandidates = 4;
// Retry-After for work without room: about the time in which an engine finishes
// a few short requests.
constexpr std::int64_t kNoRoomRetryMs = 400;

// A stream that generates more tokens than this runs long enough to meet a
// prompt that is prefilled beside it.
constexpr double kExposedTokens = 128.0;
// An expected pause of this part of the longest permitted one is safe, and one
// of that part is taken to be late: the expected pause is an estimate.
constexpr double kSafePause = 0.6;
constexpr double kLatePause = 0.9;
// An engine that nobody has measured is tried before one that is known to be
// slow: it may be fast, and one stream tells.
constexpr double kUnknownRisk = 0.5;

// Probability that the work runs long enough to meet a prefill beside it. An
// allocator sees the lengths of few outputs itself, so a caller's estimate goes
// before what it has learned.
double ExposureOf(const WorkItem& work, const FleetState& fleet) {
  if (work.is_copy) {
    return 1.0;
  }
  if (work.hinted_output_tokens > 0) {
    return std::min(
        1.0, static_cast<double>(work.hinted_output_tokens) / kExposedTokens);
  }
  return fleet.Lengths().CurveOf(LengthKeyOf(work))->Survival(kExposedTokens);
}

// A peer's run that is still in prefill may be the only one that is, so that it
// counts with a prompt like that of the new work at least.
std::int64_t PrefillOfOneRun(const PeerLoad& peer, const WorkItem& work) {
  return std::max(peer.reading / peer.in_flight,
                  std::min(peer.reading, work.prompt_tokens));
}

}  // namespace

Decision PressureChooser::Choose(const WorkItem& work, const FleetState& fleet,
                                 std::int64_t now_ms, std::uint64_t random) {
  MemoryForecast added;
  added.AddStream({work.prompt_tokens, 0, work.max_output_tokens},
                  *fleet.Lengths().CurveOf(LengthKeyOf(work)));
  const StringMap<double> link_costs = this->LinkCosts(work, fleet, now_ms);
  std::vector<ScoredEngine> scored;
  for (const EngineIndex engine : fleet.Serving(work)) {
    const EngineView& view = fleet.View(engine);
    if (view.Usable() && MayRunIn(work.allowed_regions, view.region) &&
        work.software.Permits(view.software_version) &&
        (!this->filter || this->filter(view))) {
      scored.push_back(this->Score(work, fleet, engine, added, now_ms));
      const auto cost = link_costs.find(view.zone);
      scored.back().cost += cost == link_costs.end() ? 0.0 : cost->second;
    }
  }
  if (scored.empty()) {
    return detail::NoUsableEngine(work, fleet);
  }
  return this->Pick(work, fleet, scored, now_ms, random);
}

StringMap<double> PressureChooser::LinkCosts(const WorkItem& work,
                                             const FleetState& fleet,
                                             std::int64_t now_ms) const {
  StringMap<double> costs;
  if (this->links == nullptr) {
    return costs;
  }
  StringMap<int> streams;
  for (const EngineIndex engine : fleet.Serving(work)) {
    const EngineView& view = fleet.View(engine);
    streams[view.zone] += view.own_in_flight;
  }
  const int own = streams[this->options.zone];
  for (const auto& [zone, count] : streams) {
    costs[zone] = this->options.degraded_link_cost *
                  this->links->Degradation(zone, count, own, now_ms);
  }
  return costs;
}

PressureChooser::ScoredEngine PressureChooser::Score(
    const WorkItem& work, const FleetState& fleet, EngineIndex engine,
    const MemoryForecast& added, std::int64_t now_ms) const {
  const EngineView& view = fleet.View(engine);
  MemoryForecast forecast = fleet.Forecast(engine, now_ms);
  forecast.AddScaled(added, 1.0F);
  const auto capacity = std::max(1.0, static_cast<double>(view.kv_capacity));
  ScoredEngine scored;
  scored.engine = engine;
  scored.memory_share = forecast.MaxExpectedTokens() / capacity;
  scored.in_flight = fleet.InFlight(engine, now_ms);
  const std::int64_t prefill_tokens = fleet.PrefillBacklog(engine, now_ms);
  scored.prefill_tokens = prefill_tokens;
  scored.cost = scored.memory_share +
                this->options.prefill_weight *
                    fleet.Speeds().RelativeTime(engine) *
                    static_cast<double>(prefill_tokens) /
                    this->options.prefill_unit_tokens +
                this->PauseCost(work, fleet, scored) +
                this->options.request_weight * scored.in_flight +
                this->options.failure_weight * view.failure_share;
  scored.cost +=
      this->options.crowding_weight *
      std::max(0.0, scored.memory_share - this->options.crowding_threshold);
  if (view.unreachable_until_ms > now_ms) {
    scored.cost += this->options.last_resort_cost;
  }
  // Without this cost, one run asked the same leaving engine for room 66 times
  // in 0.7 s, until the run's own engine was gone.
  if (view.no_room_until_ms > now_ms) {
    scored.cost += this->options.last_resort_cost;
  }
  if (view.warm_at_ms > now_ms) {
    scored.cost += this->options.cold_cost;
  }
  if (view.zone != this->options.zone) {
    scored.cost += this->options.zone_cost;
  }
  if (this->options.busy_link_cost > 0.0 && fleet.IsLinkBusy(engine, now_ms)) {
    scored.cost += this->options.busy_link_cost;
  }
  scored.first_event_ms =
      fleet.PrefillMs(engine, prefill_tokens + work.prompt_tokens);
  const EngineRoom room{engine, capacity, forecast, prefill_tokens};
  scored.fits = this->HasRoom(work, fleet, added, room);
  scored.fits_without_peer_run =
      scored.fits ||
      this->HasRoomWithoutPeerRun(work, fleet, engine, added, room, now_ms);
  return scored;
}

double PressureChooser::PauseCost(const WorkItem& work, const FleetState& fleet,
                                  const ScoredEngine& scored) const {
  if (work.max_token_gap_us <= 0) {
    return 0.0;
  }
  const double expected = fleet.Speeds().ExpectedPauseUs(scored.engine) /
                          static_cast<double>(work.max_token_gap_us);
  const double most =
      fleet.Speeds().IsKnown(scored.engine) ? 1.0 : kUnknownRisk;
  const double risk = std::clamp(
      (expected - kSafePause) / (kLatePause - kSafePause), 0.0, most);
  const double prompt = static_cast<double>(work.prompt_tokens) /
                        this->options.prefill_unit_tokens;
  const auto prefilling =
      static_cast<double>(scored.prefill_tokens) /
      std::max(1.0, static_cast<double>(work.prompt_tokens));
  const double disturbed =
      work.is_copy ? 0.0
                   : prompt * std::max(0.0, scored.in_flight - prefilling);
  return risk * (this->options.pause_weight * ExposureOf(work, fleet) +
                 this->options.disturbance_weight * disturbed);
}

bool PressureChooser::HasRoom(const WorkItem& work, const FleetState& fleet,
                              const MemoryForecast& added,
                              const EngineRoom& room) const {
  const double first_event_ms =
      fleet.PrefillMs(room.engine, room.prefill_tokens + work.prompt_tokens);
  // If the engine has nothing to prefill, no other could start the work sooner.
  // Besides, the assumed prefill rate may be too low, and it is corrected only
  // if work is sent.
  const bool starts_in_time =
      work.first_event_within_ms <= 0 || room.prefill_tokens == 0 ||
      first_event_ms <= static_cast<double>(work.first_event_within_ms);
  const double limit_share = work.is_late ? this->options.late_work_part : 1.0;
  const bool has_memory = room.forecast.FitsWithin(
      added, room.capacity * this->options.memory_limit * limit_share,
      room.capacity * this->options.short_work_limit * limit_share);
  return work.forced || (has_memory && starts_in_time);
}

// Peers report only the sums of their runs. In memory, one run is taken to be
// an equal part of them.
bool PressureChooser::HasRoomWithoutPeerRun(const WorkItem& work,
                                            const FleetState& fleet,
                                            EngineIndex engine,
                                            const MemoryForecast& added,
                                            const EngineRoom& room,
                                            std::int64_t now_ms) const {
  const std::span<const PeerLoad> peers = fleet.PeerLoads(engine);
  return std::any_of(peers.begin(), peers.end(), [&](const PeerLoad& peer) {
    if (peer.in_flight <= 0 || !fleet.IsFresh(peer, now_ms)) {
      return false;
    }
    EngineRoom without = room;
    without.forecast.AddScaled(peer.forecast,
                               -1.0F / static_cast<float>(peer.in_flight));
    without.prefill_tokens -= PrefillOfOneRun(peer, work);
    return this->HasRoom(work, fleet, added, without);
  });
}

Decision PressureChooser::Pick(const WorkItem& work, const FleetState& fleet,
                               std::vector<ScoredEngine>& scored,
                               std::int64_t now_ms,
                               std::uint64_t random) const {
  std::size_t near_best = detail::RankByCost(scored, this->options.near_equal);
  // Hosts whose views of the engines are slightly out of date would otherwise
  // all send to the same best engine before they learn of each other's
  // requests.
  const auto spread_over =
      static_cast<std::size_t>(std::lround(this->unseen_requests)) + 1;
  while (near_best < std::min(spread_over, scored.size()) &&
         scored[near_best].fits == scored[0].fits) {
    ++near_best;
  }
  std::swap(scored[0], scored[random % near_best]);
  Decision decision;
  for (std::size_t i = 0; i < std::min(scored.size(), kMaxReportedCandidates);
       ++i) {
    decision.considered.push_back(
        Candidate{fleet.View(scored[i].engine).engine, scored[i].cost,
                  scored[i].memory_share, scored[i].in_flight, false,
                  std::lround(scored[i].first_event_ms),
                  fleet.PeerLoadAgeMs(scored[i].engine, now_ms)});
  }
  if (!scored[0].fits) {
    decision.reason = DecisionReason::kNoneHasRoom;
    decision.retry_after_ms = kNoRoomRetryMs;
    decision.rests_on_peer_run = std::any_of(
        scored.begin(), scored.end(),
        [](const ScoredEngine& one) { return one.fits_without_peer_run; });
    return decision;
  }
  decision.engine = fleet.View(scored[0].engine).engine;
  decision.reason = DecisionReason::kLeastLoad;
  decision.priority = detail::UrgencyPriority(work.urgency);
  decision.prefill_ahead_tokens = scored[0].prefill_tokens;
  return decision;
}

}  // namespace meadowthread
