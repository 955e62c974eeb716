#include "policy/memory_aware_chooser.h"

#include <algorithm>
#include <random>
#include <span>

namespace meadowthread {
namespace {

constexpr std::size_t kExplained = 4;
constexpr std::int64_t kNoRoomRetryMs = 1'000;
// Requests at which an engine's token gap counts as one unit of cost.
constexpr double kBatchUnit = 64.0;
// Near-equal engines are picked between at random, so that hosts that see the
// same state do not all send to the same one.
constexpr double kNearEqual = 0.02;
// Urgent work is short: it may go where other work may not.
constexpr double kUrgentRiskFactor = 10.0;
// Missing tokens, summed over token steps, that weigh as much as a certain
// preemption: about a report of 1,500 tokens put aside for 270 steps.
constexpr double kStallUnit = 400'000.0;
// The sum of weights at which max_risk is meant.
constexpr double kUsualWeights = 4.0;

// Fuller than this now, an engine may make new work wait for memory.
constexpr double kNearlyFull = 0.9;

// How near the memory is to being full at once, from 0 to 1 at the limit.
double Fullness(double held, double room) {
  const double part = held / std::max(room, 1.0);
  return std::max(0.0, part - kNearlyFull) / (1.0 - kNearlyFull);
}

}  // namespace

MemoryAwareChooser::MemoryAwareChooser(MemoryAwareOptions options)
    : options(options) {}

Decision MemoryAwareChooser::Choose(const WorkItem& work,
                                    const FleetState& fleet,
                                    std::int64_t now_ms, std::uint64_t random) {
  MemoryForecast added;
  added.AddStream({work.prompt_tokens, 0, work.max_output_tokens},
                  *fleet.Lengths().CurveOf(LengthKeyOf(work)));
  std::vector<Scored> scored;
  for (const EngineIndex engine : this->Sample(work, fleet, random)) {
    if (fleet.View(engine).Usable()) {
      scored.push_back(this->Score(work, fleet, engine, added, now_ms));
    }
  }
  if (scored.empty()) {
    return detail::NothingUsable(work, fleet);
  }
  return this->Explain(work, fleet, scored, random);
}

std::vector<EngineIndex> MemoryAwareChooser::Sample(
    const WorkItem& work, const FleetState& fleet, std::uint64_t random) const {
  const std::span<const EngineIndex> serving = fleet.Serving(work);
  const auto all_up_to =
      static_cast<std::size_t>(this->options.look_at_all_up_to);
  if (serving.size() <= all_up_to) {
    return {serving.begin(), serving.end()};
  }
  std::minstd_rand draws(static_cast<std::uint32_t>(random >> 33U));
  std::vector<EngineIndex> sample;
  for (const EngineIndex engine : fleet.PrefixEngines(work)) {
    if (fleet.Serves(engine, work)) {
      sample.push_back(engine);
    }
  }
  for (const EngineIndex engine : fleet.PreferredEngines()) {
    if (fleet.Serves(engine, work)) {
      sample.push_back(engine);
    }
  }
  for (int i = 0; i < this->options.sample; ++i) {
    sample.push_back(serving[draws() % serving.size()]);
  }
  std::sort(sample.begin(), sample.end());
  sample.erase(std::unique(sample.begin(), sample.end()), sample.end());
  return sample;
}

double MemoryAwareChooser::RoomFor(const WorkItem& work,
                                   const FleetState& fleet, EngineIndex engine,
                                   std::int64_t now_ms) const {
  const auto capacity = static_cast<double>(fleet.View(engine).kv_capacity);
  const bool urgent = work.urgency == Urgency::kUrgent;
  double kept = urgent ? 0.0 : this->options.urgent_room;
  // Hosts that see the same last room on an engine would all fill it. The
  // last part is for one host alone, chosen alike by all.
  if (!fleet.Preferred(engine)) {
    kept += this->options.shared_room;
  }
  return capacity * (1.0 - kept) * fleet.ServiceShare(engine, now_ms);
}

MemoryAwareChooser::Scored MemoryAwareChooser::Score(
    const WorkItem& work, const FleetState& fleet, EngineIndex engine,
    const MemoryForecast& added, std::int64_t now_ms) const {
  MemoryForecast forecast = fleet.Forecast(engine, now_ms);
  forecast.AddScaled(added, 1.0F);
  const double room = this->RoomFor(work, fleet, engine, now_ms);
  Scored scored;
  scored.engine = engine;
  const MemoryRisk risk = forecast.RiskOf(room);
  scored.overfill = risk.overfill_chance;
  scored.in_flight = fleet.InFlight(engine, now_ms);
  const auto hints = fleet.PrefixEngines(work);
  scored.prefix_hint =
      std::find(hints.begin(), hints.end(), engine) != hints.end();

  const PolicyWeights& weights = this->options.weights;
  scored.risk = (weights.stall * risk.missing_area / kStallUnit +
                 weights.preemption * risk.overfill_chance) /
                kUsualWeights;
  const bool urgent = work.urgency == Urgency::kUrgent;
  const double allowed =
      this->options.max_risk * (urgent ? kUrgentRiskFactor : 1.0);
  scored.fits = scored.risk <= allowed;
  const double batch = scored.in_flight / kBatchUnit;
  scored.cost = kUsualWeights * scored.risk + weights.token_gap * batch -
                (scored.prefix_hint ? this->options.prefix_bonus : 0.0);
  if (urgent) {
    scored.cost +=
        this->options.urgent_fullness * Fullness(forecast.mean[0], room);
  }
  return scored;
}

Decision MemoryAwareChooser::Explain(const WorkItem& work,
                                     const FleetState& fleet,
                                     std::vector<Scored>& scored,
                                     std::uint64_t random) const {
  const std::size_t near = detail::RankNear(scored, kNearEqual);
  std::swap(scored[0], scored[random % near]);
  Decision decision;
  const std::size_t shown = std::min(scored.size(), kExplained);
  for (std::size_t i = 0; i < shown; ++i) {
    const Scored& one = scored[i];
    decision.considered.push_back(Candidate{fleet.View(one.engine).engine,
                                            one.cost, one.overfill,
                                            one.in_flight, one.prefix_hint});
  }
  const Scored& best = scored[0];
  if (!best.fits) {
    decision.reason = DecisionReason::kNoneHasRoom;
    decision.retry_after_ms = kNoRoomRetryMs;
    return decision;
  }
  decision.engine = fleet.View(best.engine).engine;
  decision.reason = best.prefix_hint ? DecisionReason::kPrefixHint
                                     : DecisionReason::kMemoryFits;
  decision.priority = detail::PlainPriority(work.urgency);
  return decision;
}

}  // namespace meadowthread
