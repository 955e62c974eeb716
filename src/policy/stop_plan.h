#ifndef MEADOWTHREAD_POLICY_STOP_PLAN_H_
#define MEADOWTHREAD_POLICY_STOP_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace meadowthread {

/// @brief What a stopping host does next.
enum class StopStep {
  kWait,        ///< goes on
  kLastWord,    ///< what still runs is refused or broken off now
  kEndDrained,  ///< ends: nobody is owed anything
  kEndInTime,   ///< ends: it would be ended by force
};

/// @brief The step's name, as logs tell why a host ended.
std::string_view StopStepName(StopStep step);

/// @brief How long a stop may and has to last, in milliseconds.
struct StopBounds {
  std::int64_t least_ms = 0;  ///< so long new connections still come
  std::int64_t grace_ms = 0;  ///< the process is ended by force then
};

/// @brief What a stopping host still has to do.
struct StopWork {
  std::size_t running = 0;       ///< requests in progress
  std::size_t callers_owed = 0;  ///< who may still get something
};

/// @brief What a host without requests in progress still has to do.
struct LeftWork {
  std::size_t callers_owed = 0;    ///< who may still get something
  std::size_t claims_pending = 0;  ///< writes that others will ask for
  std::size_t peers_owed = 0;      ///< other hosts that wait for an answer
};

/// @brief Whether a stopping host whose end nobody forces may end.
///
/// Each kind of work has a limit, so that no caller, no store and no peer can
/// keep a host from ending.
/// @param[in] waited_ms since its last request ended
bool MayEnd(std::int64_t waited_ms, const LeftWork& left);

/// @brief When a stopping host says its last word, and when it ends.
///
/// Answers the load pattern "hosts are stopped while long answers run and
/// callers read slowly": an answer whose run has ended is still on its way.
class StopPlan {
 public:
  /// @param[in] begun_ms monotonic: when the stop was asked for
  StopPlan(std::int64_t begun_ms, const StopBounds& bounds)
      : begun_ms(begun_ms), bounds(bounds) {}

  /// @param[in] now_ms monotonic
  StopStep Next(std::int64_t now_ms, const StopWork& work) const;

  /// @brief Requests that will not have ended by then are not taken, monotonic.
  std::int64_t LastEndMs() const;

  /// @brief The balancer has noticed the stop by then, monotonic.
  std::int64_t NoticedMs() const {
    return this->begun_ms + this->bounds.least_ms;
  }

  /// @brief The process is ended by force then, monotonic.
  std::int64_t ForcedMs() const {
    return this->begun_ms + this->bounds.grace_ms;
  }

 private:
  std::int64_t begun_ms;
  StopBounds bounds;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_STOP_PLAN_H_
