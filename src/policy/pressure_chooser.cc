#include "policy/pressure_chooser.h"

#include <algorithm>
#include <cmath>

namespace meadowthread {
namespace {

constexpr std::size_t kExplained = 4;
// When work that found no room may come back: about the time in which an
// engine ends a few short requests.
constexpr std::int64_t kNoRoomRetryMs = 400;

}  // namespace

Decision PressureChooser::Choose(const WorkItem& work, const FleetState& fleet,
                                 std::int64_t now_ms, std::uint64_t random) {
  MemoryForecast added;
  added.AddStream({work.prompt_tokens, 0, work.max_output_tokens},
                  *fleet.Lengths().CurveOf(LengthKeyOf(work)));
  const StringMap<double> link_costs = this->LinkCosts(work, fleet, now_ms);
  std::vector<Scored> scored;
  for (const EngineIndex engine : fleet.Serving(work)) {
    const EngineView& view = fleet.View(engine);
    if (view.Usable() && MayRunIn(work.homes, view.region) &&
        (!this->within || this->within(view))) {
      scored.push_back(this->Score(work, fleet, engine, added, now_ms));
      const auto cost = link_costs.find(view.zone);
      scored.back().cost += cost == link_costs.end() ? 0.0 : cost->second;
    }
  }
  if (scored.empty()) {
    return detail::NothingUsable(work, fleet);
  }
  return this->Pick(work, fleet, scored, random);
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
    costs[zone] = this->options.bad_link_cost *
                  this->links->Badness(zone, count, own, now_ms);
  }
  return costs;
}

PressureChooser::Scored PressureChooser::Score(const WorkItem& work,
                                               const FleetState& fleet,
                                               EngineIndex engine,
                                               const MemoryForecast& added,
                                               std::int64_t now_ms) const {
  const EngineView& view = fleet.View(engine);
  MemoryForecast forecast = fleet.Forecast(engine, now_ms);
  forecast.AddScaled(added, 1.0F);
  const auto capacity = std::max(1.0, static_cast<double>(view.kv_capacity));
  Scored scored;
  scored.engine = engine;
  scored.memory_part = forecast.PeakMean() / capacity;
  scored.in_flight = fleet.InFlight(engine, now_ms);
  const std::int64_t reading = fleet.ReadingTokens(engine, now_ms);
  scored.cost = scored.memory_part +
                this->options.reading_weight * static_cast<double>(reading) /
                    this->options.reading_unit +
                this->options.request_weight * scored.in_flight +
                this->options.failure_weight * view.failure_share;
  scored.cost += this->options.crowded_weight *
                 std::max(0.0, scored.memory_part - this->options.crowded_part);
  if (view.aside_until_ms > now_ms) {
    scored.cost += this->options.aside_cost;
  }
  // A run asked one leaving engine 66 times in 0.7 s, until its own was gone.
  if (view.no_room_until_ms > now_ms) {
    scored.cost += this->options.aside_cost;
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
  scored.reading = reading;
  scored.first_event_ms =
      fleet.Reading().ExpectedMs(reading + work.prompt_tokens);
  // Where nothing is ahead, nobody could begin it sooner, and a rate that was
  // guessed too slow is only learnt by sending.
  const bool in_time =
      work.first_event_within_ms <= 0 || reading == 0 ||
      scored.first_event_ms <= static_cast<double>(work.first_event_within_ms);
  const double left = work.is_late ? this->options.late_work_part : 1.0;
  const bool has_memory =
      forecast.StaysWithin(added, capacity * this->options.memory_limit * left,
                           capacity * this->options.short_work_limit * left);
  scored.fits = work.forced || (has_memory && in_time);
  return scored;
}

Decision PressureChooser::Pick(const WorkItem& work, const FleetState& fleet,
                               std::vector<Scored>& scored,
                               std::uint64_t random) const {
  std::size_t near = detail::RankNear(scored, this->options.near_equal);
  // Hosts that see the same state a moment late would all send to the same
  // best engine before any of them hears of the others.
  const auto spread = static_cast<std::size_t>(std::lround(this->unseen)) + 1;
  while (near < std::min(spread, scored.size()) &&
         scored[near].fits == scored[0].fits) {
    ++near;
  }
  std::swap(scored[0], scored[random % near]);
  Decision decision;
  for (std::size_t i = 0; i < std::min(scored.size(), kExplained); ++i) {
    decision.considered.push_back(
        Candidate{fleet.View(scored[i].engine).engine, scored[i].cost,
                  scored[i].memory_part, scored[i].in_flight, false,
                  std::lround(scored[i].first_event_ms)});
  }
  if (!scored[0].fits) {
    decision.reason = DecisionReason::kNoneHasRoom;
    decision.retry_after_ms = kNoRoomRetryMs;
    return decision;
  }
  decision.engine = fleet.View(scored[0].engine).engine;
  decision.reason = DecisionReason::kLeastLoad;
  decision.priority = detail::PlainPriority(work.urgency);
  decision.reading_ahead = scored[0].reading;
  return decision;
}

}  // namespace meadowthread
