#include "base/scheduler.h"

#include <criterion/criterion.h>

#include "base/manual_scheduler.h"

namespace meadowthread {
namespace {

Test(a_repeated_task, runs_once_per_period_starting_after_the_first) {
  ManualClock clock{1'000};
  ManualScheduler scheduler{&clock};
  int runs = 0;
  RunEvery(scheduler, 20, [&runs] { ++runs; });
  scheduler.RunDue();
  cr_assert(runs == 0);
  for (int period = 1; period <= 5; ++period) {
    clock.Advance(19);
    scheduler.RunDue();
    cr_assert(runs == period - 1);
    clock.Advance(1);
    scheduler.RunDue();
    cr_assert(runs == period);
  }
}

}  // namespace
}  // namespace meadowthread
