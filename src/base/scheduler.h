#ifndef MEADOWTHREAD_BASE_SCHEDULER_H_
#define MEADOWTHREAD_BASE_SCHEDULER_H_

#include <cstdint>
#include <functional>

namespace meadowthread {

/// @brief Runs tasks later, on the event loop's thread; tests give their own.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  /// @brief Runs `task` once, `delay_ms` from now, never from within After.
  virtual void After(std::int64_t delay_ms, std::function<void()> task) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_SCHEDULER_H_
