#ifndef MEADOWTHREAD_BASE_SCHEDULER_H_
#define MEADOWTHREAD_BASE_SCHEDULER_H_

#include <cstdint>
#include <functional>

namespace meadowthread {

/// @brief Runs delayed tasks on the event loop's thread.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  /// @brief Runs `task` once, after `delay_ms`.
  virtual void After(std::int64_t delay_ms, std::function<void()> task) = 0;
};

/// @brief Runs `task` every `period_ms`, first after one period, for as long as
/// the scheduler runs tasks.
/// @param[in] scheduler outlived by everything that `task` uses
/// @param[in] task the task to repeat
void RunEvery(Scheduler& scheduler, std::int64_t period_ms,
              const std::function<void()>& task);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_SCHEDULER_H_
