#ifndef MEADOWTHREAD_BASE_SCHEDULER_H_
#define MEADOWTHREAD_BASE_SCHEDULER_H_

#include <cstdint>
#include <functional>

namespace meadowthread {

/// @brief Runs tasks later, on the event loop's thread.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  /// @brief Runs `task` once, after `delay_ms`.
  virtual void After(std::int64_t delay_ms, std::function<void()> task) = 0;
};

/// @brief Runs `task` every `period_ms`, for as long as the scheduler runs
/// anything.
/// @param[in] scheduler,task what the task uses outlives the scheduler's tasks
void RunEvery(Scheduler& scheduler, std::int64_t period_ms,
              const std::function<void()>& task);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_SCHEDULER_H_
