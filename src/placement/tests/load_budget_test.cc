#include "placement/load_budget.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

Test(a_load_budget, keeps_to_its_rate_over_time) {
  ManualClock clock(0);
  LoadBudget budget(LoadBudgetSettings{}, clock);
  int loads = 0;
  for (int second = 0; second < 1'000; ++second) {
    const int now = budget.UrgentAvailable();
    budget.Take(now);
    loads += now;
    clock.Advance(1'000);
  }
  cr_assert(loads == 500);
}

Test(a_load_budget, keeps_a_reserve_for_urgent_loads) {
  ManualClock clock(0);
  LoadBudget budget(LoadBudgetSettings{}, clock);
  cr_assert(budget.Available() == 0 && budget.UrgentAvailable() == 1);
  clock.Advance(60'000);
  cr_assert(budget.Available() == 1 && budget.UrgentAvailable() == 2);
}

Test(a_load_budget, slows_down_after_refusals_and_recovers) {
  ManualClock clock(0);
  LoadBudget budget(LoadBudgetSettings{}, clock);
  budget.OnRefused(10'000);
  clock.Advance(10'000);
  cr_assert(budget.Rate() == 0.25 && budget.UrgentAvailable() == 0);
  clock.Advance(4'000);
  cr_assert(budget.UrgentAvailable() == 1);
  for (int load = 0; load < 10; ++load) {
    budget.OnLoaded();
  }
  cr_assert(budget.Rate() == 0.5);
}

}  // namespace
}  // namespace meadowthread
