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

std::int64_t StopPlan::LastEndMs() const {
  return this->ForcedMs() - kMarginMs;
}

}  // namespace meadowthread
