#include "policy/stop_plan.h"

namespace meadowthread {
namespace {

// What is still running this long before the end by force gets its last word.
constexpr std::int64_t kLastWordMs = 250;
// The process ends by itself this long before the end by force, so that it does
// not come while its connections are being closed.
constexpr std::int64_t kExitMs = 50;
// Requests taken while stopping have to end this long before that.
constexpr std::int64_t kMarginMs = 600;
// As long as a caller that does not read may keep its stream.
constexpr std::int64_t kCallersLimitMs = 60'000;
// A write to a store that is slow or loses answers is settled by a few tries.
constexpr std::int64_t kClaimsLimitMs = 10'000;
// Three times what a forwarded claim may take. New ones come as long as peers
// take this host for live: they settle with the store what they miss.
constexpr std::int64_t kPeersLimitMs = 900;

}  // namespace

std::string_view StopStepName(StopStep step) {
  switch (step) {
    case StopStep::kWait:
      return "waits";
    case StopStep::kLastWord:
      return "last_word";
    case StopStep::kEndDrained:
      return "drained";
    case StopStep::kEndInTime:
      return "time_is_up";
  }
  return "waits";
}

// A session ends when its last bytes are written; its caller may read them for
// seconds yet.
StopStep StopPlan::Next(std::int64_t now_ms, const StopWork& work) const {
  const std::int64_t left_ms = this->ForcedMs() - now_ms;
  if (left_ms <= kExitMs) {
    return StopStep::kEndInTime;
  }
  if (work.running == 0 && work.callers_owed == 0 &&
      now_ms >= this->NoticedMs()) {
    return StopStep::kEndDrained;
  }
  return left_ms <= kLastWordMs && work.running > 0 ? StopStep::kLastWord
                                                    : StopStep::kWait;
}

bool MayEnd(std::int64_t waited_ms, const LeftWork& left) {
  const bool callers = left.callers_owed > 0 && waited_ms < kCallersLimitMs;
  const bool claims = left.claims_pending > 0 && waited_ms < kClaimsLimitMs;
  const bool peers = left.peers_owed > 0 && waited_ms < kPeersLimitMs;
  return !callers && !claims && !peers;
}

std::int64_t StopPlan::LastEndMs() const {
  return this->ForcedMs() - kMarginMs;
}

}  // namespace meadowthread
