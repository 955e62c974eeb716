#include <criterion/criterion.h>

#include "engine/engine_wire.h"
#include "engine/load_reports.h"
#include "engine/loaded_models.h"

namespace meadowthread::standins {
namespace {

constexpr std::int64_t kNowMs = 5000;

Order OrderOf(std::string_view holder, std::int64_t fence,
              std::int64_t deadline_ms = 0) {
  Order order;
  order.holder = holder;
  order.fence = fence;
  order.deadline_ms = deadline_ms;
  return order;
}

Test(an_engine_that_checks_fences, refuses_an_old_fencing_token) {
  OrderLog book(true);
  cr_assert(book.Take(OrderOf("a", 7), kNowMs) == OrderAnswer::kApplied);
  cr_assert(book.Take(OrderOf("b", 9), kNowMs) == OrderAnswer::kApplied);
  cr_assert(book.Take(OrderOf("a", 7), kNowMs) == OrderAnswer::kStaleFence);
  cr_assert(book.Take(OrderOf("b", 9), kNowMs) == OrderAnswer::kApplied);
  cr_assert(book.HighestFence() == 9 && book.Seen().size() == 4);
}

Test(an_engine_that_checks_no_fences, applies_an_old_fencing_token) {
  OrderLog book(false);
  cr_assert(book.Take(OrderOf("b", 9), kNowMs) == OrderAnswer::kApplied);
  cr_assert(book.Take(OrderOf("a", 7), kNowMs) == OrderAnswer::kApplied);
}

Test(an_engine_that_checks_no_fences, refuses_an_order_past_its_deadline) {
  OrderLog book(false);
  cr_assert(book.Take(OrderOf("a", 7, kNowMs), kNowMs) ==
            OrderAnswer::kDeadlinePassed);
  cr_assert(book.HighestFence() == 0);
}

Test(an_order, names_the_whole_desired_state) {
  const std::vector<ModelRef> two = ParseModels("m/a/1,n");
  LoadedModels models;
  models.Add(two[0]);
  cr_assert(models.SetDesired(two) == std::vector<ModelRef>{two[1]});
  cr_assert(models.SetDesired(two).empty());
  cr_assert(!models.Has(two[1]) && models.IsLoading(two[1]));
  models.MarkReady(two[1]);
  cr_assert(models.Has(two[1]));
  models.SetDesired({two[1]});
  cr_assert(!models.Has(two[0]) && models.Has(two[1]));
}

Test(an_order, drops_a_load_that_is_no_longer_wanted) {
  const std::vector<ModelRef> one = ParseModels("m/a/1");
  LoadedModels models;
  models.SetDesired(one);
  models.SetDesired({});
  models.MarkReady(one[0]);
  cr_assert(!models.Has(one[0]));
}

Test(a_lagging_report, shows_the_load_at_the_lag_before_now) {
  LoadReports reports(1000);
  for (std::int64_t now_ms = 0; now_ms <= 5000; now_ms += 20) {
    EngineLoad load;
    load.running = now_ms;
    reports.Note(load, now_ms);
  }
  cr_assert(reports.At(5000).load.running == 4000);
  cr_assert(reports.At(5000).as_of_ms == 4000);
}

}  // namespace
}  // namespace meadowthread::standins
