#include "policy/memory_aware_chooser.h"

#include <algorithm>
#include <random>
#include <span>

namespace meadowthread {
namespace {

constexpr std::size_t kMaxReportedCandidates = 4;
constexpr std::int64_t kNoRoomRetryMs = 1'000;
// This many requests on an engine cost one unit of the weight `token_gap`,
// because they slow down each other's token generation.
constexpr double kBatchUnitRequests = 64.0;
// Engines whose costs differ by at most this count as equal. One of them is
// picked at random, so that hosts with the same view do not all send to the
// same engine.
constexpr double kCostTolerance = 0.02;
// The maximum risk of urgent work is higher by this factor, because urgent work
// is short.
constexpr double kUrgentRiskFactor = 10.0;
// This many missing tokens, summed over token steps, cost as much as a certain
// preemption: about one output of 1,500 tokens that is preempted for 270 steps.
constexpr double kStallAreaUnit = 400'000.0;
// The sum of the weights for which max_risk is specified.
constexpr double kReferenceWeightSum = 4.0;

// Above this fraction of memory in use, new work may have to wait for memory.
constexpr double kNearlyFull = 0.9;

// How close the memory in use is to its limit: 0 up to kNearlyFull, 1 at the
// limit.
double Fullness(double held, double room) {
  const double used_fraction = held / std::max(room, 1.0);
  return std::max(0.0, used_fraction - kNearlyFull) / (1.0 - kNearlyFull);
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
  std::vector<ScoredEngine> scored;
  for (const EngineIndex engine : this->SampleEngines(work, fleet, random)) {
    if (fleet.View(engine).Usable()) {
      scored.push_back(this->Score(work, fleet, engine, added, now_ms));
    }
  }
  if (scored.empty()) {
    return detail::NoUsableEngine(work, fleet);
  }
  return this->Pick(work, fleet, scored, random);
}

std::vector<EngineIndex> MemoryAwareChooser::SampleEngines(
    const WorkItem& work, const FleetState& fleet, std::uint64_t random) const {
  const std::span<const EngineIndex> serving = fleet.Serving(work);
  const auto full_scan_limit =
      static_cast<std::size_t>(this->options.full_scan_limit);
  if (serving.size() <= full_scan_limit) {
    return {serving.begin(), serving.end()};
  }
  std::minstd_rand rng(static_cast<std::uint32_t>(random >> 33U));
  std::vector<EngineIndex> sample;
  for (const EngineIndex engine : fleet.EnginesWithPrefix(work)) {
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
    sample.push_back(serving[rng() % serving.size()]);
  }
  std::sort(sample.begin(), sample.end());
  sample.erase(std::unique(sample.begin(), sample.end()), sample.end());
  return sample;
}

double MemoryAwareChooser::UsableTokens(const WorkItem& work,
                                        const FleetState& fleet,
                                        EngineIndex engine,
                                        std::int64_t now_ms) const {
  const auto capacity = static_cast<double>(fleet.View(engine).kv_capacity);
  const bool urgent = work.urgency == Urgency::kUrgent;
  double reserved = urgent ? 0.0 : this->options.urgent_room;
  // If several hosts saw the same last free memory of an engine, each would
  // fill it. So it is reserved for the host that prefers the engine, and all
  // hosts agree on which one that is.
  if (!fleet.IsPreferred(engine)) {
    reserved += this->options.shared_room;
  }
  return capacity * (1.0 - reserved) * fleet.SlowStartShare(engine, now_ms);
}

MemoryAwareChooser::ScoredEngine MemoryAwareChooser::Score(
    const WorkItem& work, const FleetState& fleet, EngineIndex engine,
    const MemoryForecast& added, std::int64_t now_ms) const {
  MemoryForecast forecast = fleet.Forecast(engine, now_ms);
  forecast.AddScaled(added, 1.0F);
  const double room = this->UsableTokens(work, fleet, engine, now_ms);
  ScoredEngine scored;
  scored.engine = engine;
  const MemoryRisk risk = forecast.RiskOf(room);
  scored.overfill = risk.overfill_chance;
  scored.in_flight = fleet.InFlight(engine, now_ms);
  const auto hints = fleet.EnginesWithPrefix(work);
  scored.prefix_hint =
      std::find(hints.begin(), hints.end(), engine) != hints.end();

  const PolicyWeights& weights = this->options.weights;
  scored.risk = (weights.stall * risk.shortfall_area / kStallAreaUnit +
                 weights.preemption * risk.overfill_chance) /
                kReferenceWeightSum;
  const bool urgent = work.urgency == Urgency::kUrgent;
  const double allowed =
      this->options.max_risk * (urgent ? kUrgentRiskFactor : 1.0);
  scored.fits = scored.risk <= allowed;
  const double batch = scored.in_flight / kBatchUnitRequests;
  scored.cost = kReferenceWeightSum * scored.risk + weights.token_gap * batch -
                (scored.prefix_hint ? this->options.prefix_bonus : 0.0);
  if (urgent) {
    scored.cost +=
        this->options.urgent_fullness * Fullness(forecast.mean[0], room);
  }
  return scored;
}

Decision MemoryAwareChooser::Pick(const WorkItem& work, const FleetState& fleet,
                                  std::vector<ScoredEngine>& scored,
                                  std::uint64_t random) const {
  const std::size_t near_best = detail::RankByCost(scored, kCostTolerance);
  std::swap(scored[0], scored[random % near_best]);
  Decision decision;
  const std::size_t reported = std::min(scored.size(), kMaxReportedCandidates);
  for (std::size_t i = 0; i < reported; ++i) {
    const ScoredEngine& candidate = scored[i];
    decision.considered.push_back(Candidate{
        fleet.View(candidate.engine).engine, candidate.cost, candidate.overfill,
        candidate.in_flight, candidate.prefix_hint});
  }
  const ScoredEngine& best = scored[0];
  if (!best.fits) {
    decision.reason = DecisionReason::kNoneHasRoom;
    decision.retry_after_ms = kNoRoomRetryMs;
    return decision;
  }
  decision.engine = fleet.View(best.engine).engine;
  decision.reason = best.prefix_hint ? DecisionReason::kPrefixHint
                                     : DecisionReason::kMemoryFits;
  decision.priority = detail::UrgencyPriority(work.urgency);
  return decision;
}

}  // namespace meadowthread
