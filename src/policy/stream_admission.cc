#include "policy/stream_admission.h"

#include <algorithm>

namespace meadowthread {
namespace {

// A stream is sent only where its first event is expected within this fraction
// of the target, because nine in ten first events come within 1.3 times the
// expected time.
constexpr double kInTimeFraction = 0.75;
// With less than this fraction of the target left, no prompt can be prefilled
// in time.
constexpr double kMinRemainingFraction = 0.25;
// The same fraction for late streams. It is smaller, so that late streams use
// only capacity that other streams leave free.
constexpr double kLateFraction = 0.5;
// How long a late stream may wait: this multiple of its target, but at least
// kMinCallerPatienceMs. Callers abandon a stream without events after four
// times its target, but not before two seconds; the refusal has to reach them
// earlier.
constexpr double kCallerPatienceTargetMultiple = 3.5;
constexpr std::int64_t kMinCallerPatienceMs = 1'900;
// Callers honor a Retry-After time of up to a third of the time that they still
// wait.
constexpr double kHonoredFraction = 0.32;
// Start of the range of retry times, as a fraction of the longest honored time.
// A refused stream is late whenever it is retried, so the retry is put into the
// later half, when most bursts are over, and is spread over it so that the
// retries do not form the next burst.
constexpr double kMinRetryFraction = 0.5;
// Hosts report changes of their loads every 25 ms, and freed capacity at once;
// the rest is for the datagram's way and for a busy host.
constexpr std::int64_t kPeerNewsMs = 50;
// A stream is held for at most this fraction of its target before a refusal.
constexpr double kMaxNewsFraction = 0.1;
constexpr std::int64_t kShortRetryMs = 300;
constexpr std::int64_t kMinRetryMs = 20;

std::int64_t FractionOf(std::int64_t total_ms, double fraction) {
  return static_cast<std::int64_t>(fraction * static_cast<double>(total_ms));
}

}  // namespace

StreamAdmissionPlan StreamAdmission::Plan(const StreamArrival& arrival) const {
  StreamAdmissionPlan plan;
  plan.peer_news_ms = kPeerNewsMs;
  if (arrival.target_ms <= 0 || !this->options.refuses_late) {
    return plan;
  }
  plan.peer_news_ms =
      std::min(kPeerNewsMs, FractionOf(arrival.target_ms, kMaxNewsFraction));
  const std::int64_t in_time_ms =
      FractionOf(arrival.target_ms, kInTimeFraction) - arrival.elapsed_ms;
  if (in_time_ms >= FractionOf(arrival.target_ms, kMinRemainingFraction)) {
    plan.first_event_within_ms = in_time_ms;
    return plan;
  }
  plan.is_late = true;
  plan.first_event_within_ms = FractionOf(arrival.target_ms, kLateFraction);
  if (this->options.lets_returned_wait) {
    const std::int64_t patience_ms =
        std::max(kMinCallerPatienceMs,
                 FractionOf(arrival.target_ms, kCallerPatienceTargetMultiple));
    plan.may_wait_ms =
        std::min(patience_ms, arrival.left_ms - plan.first_event_within_ms);
  }
  return plan;
}

std::int64_t StreamAdmission::ReturnAfterMs(std::int64_t left_ms,
                                            std::uint64_t random) const {
  if (!this->options.spreads_returns) {
    return kShortRetryMs;
  }
  constexpr std::uint64_t kSteps = 1'024;
  const double position =
      static_cast<double>(random % kSteps) / static_cast<double>(kSteps);
  const double fraction =
      kHonoredFraction *
      (kMinRetryFraction + (1.0 - kMinRetryFraction) * position);
  return std::max(kMinRetryMs, FractionOf(left_ms, fraction));
}

}  // namespace meadowthread
