#include "policy/baseline_choosers.h"

#include <random>
#include <span>

namespace meadowthread {
namespace {

constexpr int kMaxDraws = 8;

Decision MakeDecision(const WorkItem& work, const EngineView& view,
                      DecisionReason reason) {
  Decision decision;
  decision.engine = view.engine;
  decision.reason = reason;
  decision.priority = detail::UrgencyPriority(work.urgency);
  decision.considered.push_back(
      Candidate{view.engine, 0.0, 0.0, view.own_in_flight, false});
  return decision;
}

double ReportedLoad(const EngineView& view) {
  const auto capacity = static_cast<double>(view.kv_capacity);
  const double used =
      capacity > 0 ? static_cast<double>(view.kv_used) / capacity : 0.0;
  // Each request that waits at the engine counts as much as the whole memory of
  // the engine.
  return used + view.waiting;
}

}  // namespace

Decision RoundRobinChooser::Choose(const WorkItem& work,
                                   const FleetState& fleet, std::int64_t,
                                   std::uint64_t) {
  const std::span<const EngineIndex> serving = fleet.Serving(work);
  for (std::size_t tries = 0; tries < serving.size(); ++tries) {
    const EngineView& view = fleet.View(serving[this->next % serving.size()]);
    ++this->next;
    if (view.Usable()) {
      return MakeDecision(work, view, DecisionReason::kRoundRobin);
    }
  }
  return detail::NoUsableEngine(work, fleet);
}

Decision LeastLoadChooser::Choose(const WorkItem& work, const FleetState& fleet,
                                  std::int64_t, std::uint64_t random) {
  const std::span<const EngineIndex> serving = fleet.Serving(work);
  const EngineView* best = nullptr;
  for (std::size_t i = 0; i < serving.size(); ++i) {
    // A random starting point keeps equally loaded engines from being taken in
    // list order.
    const std::size_t index = (i + random) % serving.size();
    const EngineView& view = fleet.View(serving[index]);
    if (!view.Usable()) {
      continue;
    }
    if (best == nullptr || ReportedLoad(view) < ReportedLoad(*best)) {
      best = &view;
    }
  }
  if (best == nullptr) {
    return detail::NoUsableEngine(work, fleet);
  }
  return MakeDecision(work, *best, DecisionReason::kLeastLoad);
}

Decision PowerOfTwoChooser::Choose(const WorkItem& work,
                                   const FleetState& fleet, std::int64_t,
                                   std::uint64_t random) {
  const std::span<const EngineIndex> serving = fleet.Serving(work);
  std::minstd_rand rng(static_cast<std::uint32_t>(random >> 33U));
  const EngineView* best = nullptr;
  int usable_drawn = 0;
  for (int i = 0; i < kMaxDraws && usable_drawn < 2 && !serving.empty(); ++i) {
    const EngineView& view = fleet.View(serving[rng() % serving.size()]);
    if (!view.Usable() || &view == best) {
      continue;
    }
    ++usable_drawn;
    if (best == nullptr || view.own_in_flight < best->own_in_flight) {
      best = &view;
    }
  }
  if (best == nullptr) {
    return detail::NoUsableEngine(work, fleet);
  }
  return MakeDecision(work, *best, DecisionReason::kLeastLoad);
}

}  // namespace meadowthread
