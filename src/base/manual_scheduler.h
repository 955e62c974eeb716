#ifndef MEADOWTHREAD_BASE_MANUAL_SCHEDULER_H_
#define MEADOWTHREAD_BASE_MANUAL_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "base/clock.h"
#include "base/scheduler.h"

namespace meadowthread {

/// @brief A scheduler for tests: tasks run only when the test says so, those
/// due first first, and equal ones in the order they were given.
class ManualScheduler final : public Scheduler {
 public:
  /// @param[in] clock tells what is due; outlives the scheduler
  explicit ManualScheduler(ManualClock* clock) : clock(clock) {}

  void After(std::int64_t delay_ms, std::function<void()> task) override {
    this->tasks.emplace(this->clock->MonotonicMs() + delay_ms, std::move(task));
  }

  /// @brief Runs the first task that is due now.
  /// @return whether there was one
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

  /// @brief Runs everything that is due now.
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
