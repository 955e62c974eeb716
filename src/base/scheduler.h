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

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_SCHEDULER_H_
