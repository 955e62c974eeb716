#ifndef MEADOWTHREAD_BASE_MANUAL_SCHEDULER_H_
#define MEADOWTHREAD_BASE_MANUAL_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "base/clock.h"
#include "base/scheduler.h"

namespace meadowthread {

/// @brief A scheduler for tests: tasks run only when the test asks for it,
/// ordered by due time, and in the order of scheduling if due at the same time.
class ManualScheduler final : public Scheduler {
 public:
  /// @param[in] clock decides which tasks are due; outlives the scheduler
  explicit ManualScheduler(ManualClock* clock) : clock(clock) {}

  void After(std::int64_t delay_ms, std::function<void()> task) override {
    this->tasks.emplace(this->clock->MonotonicMs() + delay_ms, std::move(task));
  }

  /// @brief Runs the earliest task that is due.
  /// @return whether a task was due
  bool RunOne() {
    const auto first = this->tasks.begin();
    const bool due = first != this->tasks.end() &&
                     first->first <= this->clock->MonotonicMs();
    if (!due) {
      return false;
    }
    const std::function<void()> task = std::move(first->second);
    this->tasks.erase(first);
    task();
    return true;
  }

  /// @brief Runs all tasks that are due.
  void RunDue() {
    while (this->RunOne()) {
    }
  }

  bool Idle() const { return this->tasks.empty(); }

 private:
  ManualClock* clock;
  std::multimap<std::int64_t, std::function<void()>> tasks;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_MANUAL_SCHEDULER_H_
