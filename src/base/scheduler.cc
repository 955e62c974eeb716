#include "base/scheduler.h"

namespace meadowthread {

void RunEvery(Scheduler& scheduler, std::int64_t period_ms,
              const std::function<void()>& task) {
  scheduler.After(period_ms, [&scheduler, period_ms, task] {
    task();
    RunEvery(scheduler, period_ms, task);
  });
}

}  // namespace meadowthread
