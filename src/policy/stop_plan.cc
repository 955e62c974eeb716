#include "policy/stop_plan.h"

namespace meadowthread {
namespace {

// Requests still in progress are aborted this long before the process is
// killed.
constexpr std::int64_t kAbortBeforeKillMs = 250;
// The process exits this long before it would be killed, so that it is not
// killed while it closes its connections.
constexpr std::int64_t kExitBeforeKillMs = 50;
// Requests accepted while stopping must end this long before the process is
// killed.
constexpr std::int64_t kCompletionMarginMs = 600;
// How long an exit is delayed by callers: the time for which a stream is kept
// whose caller does not read.
constexpr std::int64_t kMaxCallersWaitMs = 60'000;
// How long an exit is delayed by writes to the claim log: enough for a few
// attempts at a write to a store that is slow or loses responses.
constexpr std::int64_t kMaxClaimsWaitMs = 10'000;
// How long an exit is delayed by peers: three times the time limit of a
// forwarded claim. Peers forward claims to this host as long as they consider
// it live, and resolve unanswered claims with the store.
constexpr std::int64_t kMaxPeersWaitMs = 900;

}  // namespace

std::string_view StopStepName(StopStep step) {
  switch (step) {
    case StopStep::kWait:
      return "waits";
    case StopStep::kAbortRequests:
      return "last_word";
    case StopStep::kExitDrained:
      return "drained";
    case StopStep::kExitBeforeKill:
      return "time_is_up";
  }
  return "waits";
}

// Waits for requests and callers alike: a request ends once its last bytes are
// written, but its caller may take several more seconds to read them.
StopStep StopPlan::Next(std::int64_t now_ms, const StopWork& work) const {
  const std::int64_t left_ms = this->KillTimeMs() - now_ms;
  if (left_ms <= kExitBeforeKillMs) {
    return StopStep::kExitBeforeKill;
  }
  if (work.running == 0 && work.callers_owed == 0 &&
      now_ms >= this->NoticedMs()) {
    return StopStep::kExitDrained;
  }
  return left_ms <= kAbortBeforeKillMs && work.running > 0
             ? StopStep::kAbortRequests
             : StopStep::kWait;
}

bool MayExit(std::int64_t waited_ms, const RemainingWork& left) {
  const bool callers = left.callers_owed > 0 && waited_ms < kMaxCallersWaitMs;
  const bool claims = left.claims_pending > 0 && waited_ms < kMaxClaimsWaitMs;
  const bool peers = left.peers_owed > 0 && waited_ms < kMaxPeersWaitMs;
  return !callers && !claims && !peers;
}

std::int64_t StopPlan::LatestAllowedEndMs() const {
  return this->KillTimeMs() - kCompletionMarginMs;
}

}  // namespace meadowthread
