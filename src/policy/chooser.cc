#include "policy/chooser.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kNoUsableEngineRetryMs = 2'000;

}  // namespace

std::string_view DecisionReasonName(DecisionReason reason) {
  switch (reason) {
    case DecisionReason::kRoundRobin:
      return "turn";
    case DecisionReason::kLeastLoad:
      return "least_load";
    case DecisionReason::kMemoryFits:
      return "memory_fits";
    case DecisionReason::kPrefixHint:
      return "prefix_hint";
    case DecisionReason::kNotServed:
      return "not_served";
    case DecisionReason::kNoneUsable:
      return "none_usable";
    case DecisionReason::kNoneHasRoom:
      return "none_has_room";
  }
  return "unknown";
}

namespace detail {

int UrgencyPriority(Urgency urgency) {
  // The gap between urgencies lets a chooser order work within one urgency.
  constexpr int kPrioritiesPerUrgency = 4;
  return static_cast<int>(urgency) * kPrioritiesPerUrgency;
}

Decision DecisionWithoutEngine(DecisionReason reason,
                               std::int64_t retry_after_ms) {
  Decision decision;
  decision.reason = reason;
  decision.retry_after_ms = retry_after_ms;
  return decision;
}

Decision NoUsableEngine(const WorkItem& work, const FleetState& fleet) {
  const bool served = !fleet.Serving(work).empty();
  const DecisionReason reason =
      served ? DecisionReason::kNoneUsable : DecisionReason::kNotServed;
  return DecisionWithoutEngine(reason, kNoUsableEngineRetryMs);
}

}  // namespace detail

}  // namespace meadowthread
