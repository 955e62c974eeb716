#include "oracle.h"

#include <algorithm>
#include <limits>

namespace meadowthread::bench {
namespace {

// Kept for urgent work, as any policy may.
constexpr double kUrgentRoom = 0.02;

}  // namespace

std::int64_t OracleChooser::Peak(std::vector<Need>& needs) {
  // All decode in step: just before each end, those that are left hold what
  // they hold now and as many tokens more.
  std::sort(needs.begin(), needs.end(),
            [](const Need& a, const Need& b) { return a.left < b.left; });
  std::int64_t held = 0;
  for (const Need& need : needs) {
    held += need.held;
  }
  std::int64_t peak = 0;
  auto alive = static_cast<std::int64_t>(needs.size());
  for (const Need& need : needs) {
    peak = std::max(peak, held + alive * need.left);
    held -= need.held;
    --alive;
  }
  return peak;
}

Decision OracleChooser::Choose(const WorkItem& work, const FleetState& fleet,
                               std::int64_t, std::uint64_t) {
  const auto& engines = this->truth.Engines();
  const Need added{work.prompt_tokens,
                   this->truth.ArrivalOf(work.request).output};
  std::int64_t best_peak = std::numeric_limits<std::int64_t>::max();
  Decision decision;
  decision.reason = DecisionReason::kNoneHasRoom;
  decision.priority = detail::UrgencyPriority(work.urgency);
  for (const EngineIndex index : fleet.Serving(work)) {
    const FakeEngine& engine = *engines[index];
    if (!fleet.View(index).Usable()) {
      continue;
    }
    std::vector<Need> needs = {added};
    const auto add = [&](const Job& job) {
      needs.push_back({job.prompt + job.generated, job.length - job.generated});
    };
    std::for_each(engine.Running().begin(), engine.Running().end(), add);
    std::for_each(engine.Waiting().begin(), engine.Waiting().end(), add);
    const std::int64_t peak = Peak(needs);
    const double kept = work.urgency == Urgency::kUrgent ? 0.0 : kUrgentRoom;
    const auto room = static_cast<std::int64_t>(
        static_cast<double>(engine.Shape().kv_capacity) * (1.0 - kept));
    if (peak <= room && peak < best_peak) {
      best_peak = peak;
      decision.engine = fleet.View(index).engine;
      decision.reason = DecisionReason::kMemoryFits;
    }
  }
  return decision;
}

}  // namespace meadowthread::bench
