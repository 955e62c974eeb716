#include "policy/stream_admission.h"

#include <algorithm>

namespace meadowthread {
namespace {

// Part of the target within which a first event has to be expected: nine in ten
// come within 1.3 times what was expected.
constexpr double kInTimePart = 0.75;
// With less than this part of the target left, no prompt is read in time.
constexpr double kLeastPart = 0.25;
// What is late already goes where the wait is shorter than what others may be
// sent into: it takes room that they leave.
constexpr double kLatePart = 0.5;
// Callers give a silent stream up after four times its target, and after two
// seconds at the least; the answer has to reach them before.
constexpr double kPatienceTargets = 3.5;
constexpr std::int64_t kLeastPatienceMs = 1'900;
// Callers heed a time to come back up to a third of what is left to them.
constexpr double kHeededPart = 0.32;
// A refused stream is late whenever it comes: it comes in the later half of
// that time, after most crowds, spread so that they do not make the next one.
constexpr double kReturnFromPart = 0.5;
constexpr std::int64_t kSoonMs = 300;
constexpr std::int64_t kLeastReturnMs = 20;

std::int64_t PartOf(std::int64_t whole_ms, double part) {
  return static_cast<std::int64_t>(part * static_cast<double>(whole_ms));
}

}  // namespace

ArrivalPlan StreamAdmission::Plan(const StreamArrival& arrival) const {
  ArrivalPlan plan;
  if (arrival.target_ms <= 0 || !this->options.refuses_late) {
    return plan;
  }
  const std::int64_t in_time_ms =
      PartOf(arrival.target_ms, kInTimePart) - arrival.elapsed_ms;
  if (in_time_ms >= PartOf(arrival.target_ms, kLeastPart)) {
    plan.first_event_within_ms = in_time_ms;
    return plan;
  }
  plan.is_late = true;
  plan.first_event_within_ms = PartOf(arrival.target_ms, kLatePart);
  if (this->options.lets_returned_wait) {
    const std::int64_t patience_ms =
        std::max(kLeastPatienceMs, PartOf(arrival.target_ms, kPatienceTargets));
    plan.may_wait_ms =
        std::min(patience_ms, arrival.left_ms - plan.first_event_within_ms);
  }
  return plan;
}

std::int64_t StreamAdmission::ReturnAfterMs(std::int64_t left_ms,
                                            std::uint64_t random) const {
  if (!this->options.spreads_returns) {
    return kSoonMs;
  }
  constexpr std::uint64_t kSteps = 1'024;
  const double at =
      static_cast<double>(random % kSteps) / static_cast<double>(kSteps);
  const double part =
      kHeededPart * (kReturnFromPart + (1.0 - kReturnFromPart) * at);
  return std::max(kLeastReturnMs, PartOf(left_ms, part));
}

}  // namespace meadowthread
