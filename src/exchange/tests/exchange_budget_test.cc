#include "exchange/exchange_budget.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

constexpr std::int64_t kSecondMs = 1000;

Test(the_byte_budget, charges_bulk_to_its_own_bucket) {
  ManualClock clock(0);
  const ExchangeSettings settings;
  ExchangeBudget budget(settings, clock);
  budget.Spend(static_cast<std::size_t>(settings.bulk_burst_bytes));
  cr_assert(budget.AllowsCall() && !budget.IsLow());
  cr_assert(budget.ForRequest().items ==
            static_cast<std::size_t>(settings.regular_item_bytes));
}

Test(the_byte_budget, delays_rounds_after_too_much_bulk) {
  ManualClock clock(0);
  const ExchangeSettings settings;
  ExchangeBudget budget(settings, clock);
  budget.Spend(static_cast<std::size_t>(settings.bulk_burst_bytes));
  budget.Spend(static_cast<std::size_t>(settings.regular_burst_bytes));
  cr_assert(!budget.AllowsCall() && budget.ForRequest().items == 0);
  clock.Advance(kSecondMs);
  cr_assert(budget.AllowsCall() && budget.IsLow());
}

}  // namespace
}  // namespace meadowthread
