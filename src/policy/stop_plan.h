#ifndef MEADOWTHREAD_POLICY_STOP_PLAN_H_
#define MEADOWTHREAD_POLICY_STOP_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace meadowthread {

/// @brief What a stopping host does next.
enum class StopStep {
  kWait,            ///< continue with the requests in progress
  kAbortRequests,   ///< refuse or abort all requests still in progress
  kExitDrained,     ///< exit: all requests and responses are finished
  kExitBeforeKill,  ///< exit: the process is about to be killed
};

/// @brief The step's name, logged as the reason for the exit.
std::string_view StopStepName(StopStep step);

/// @brief Minimum and maximum duration of a stop, in milliseconds.
struct StopBounds {
  /// New connections may still arrive during this time.
  std::int64_t min_ms = 0;
  std::int64_t grace_ms = 0;  ///< the process is killed at the end of this time
};

/// @brief Work left on a stopping host.
struct StopWork {
  std::size_t running = 0;  ///< requests in progress
  /// Callers whose response is not delivered yet.
  std::size_t callers_owed = 0;
};

/// @brief Work left on a host without requests in progress.
struct RemainingWork {
  /// Callers whose response is not delivered yet.
  std::size_t callers_owed = 0;
  /// Unfinished writes to the claim log, which other hosts will read.
  std::size_t claims_pending = 0;
  std::size_t peers_owed = 0;  ///< other hosts that wait for a response
};

/// @brief Whether a stopping host that will not be killed may exit.
///
/// Each kind of work is waited for only up to a limit, so that no caller, store
/// or peer can keep the host from exiting.
/// @param[in] waited_ms time since its last request ended
bool MayExit(std::int64_t waited_ms, const RemainingWork& left);

/// @brief Decides when a stopping host aborts the requests in progress and when
/// it exits.
///
/// Guards against losing responses when a host is stopped while long outputs
/// are generated and callers read slowly: after a request has ended, its
/// response may still be on its way to the caller.
class StopPlan {
 public:
  /// @param[in] begun_ms monotonic time of the request to stop
  StopPlan(std::int64_t begun_ms, const StopBounds& bounds)
      : begun_ms(begun_ms), bounds(bounds) {}

  /// @brief The step to take now.
  /// @param[in] now_ms monotonic
  StopStep Next(std::int64_t now_ms, const StopWork& work) const;

  /// @brief Monotonic time by which requests must be expected to end; others
  /// are refused.
  std::int64_t LatestAllowedEndMs() const;

  /// @brief Monotonic time by which the load balancer has noticed the stop.
  std::int64_t NoticedMs() const {
    return this->begun_ms + this->bounds.min_ms;
  }

  /// @brief Monotonic time at which the process is killed.
  std::int64_t KillTimeMs() const {
    return this->begun_ms + this->bounds.grace_ms;
  }

 private:
  std::int64_t begun_ms;
  StopBounds bounds;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_STOP_PLAN_H_
