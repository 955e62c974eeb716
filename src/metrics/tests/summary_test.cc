#include "metrics/summary.h"

#include <criterion/criterion.h>

#include <cmath>
#include <limits>

namespace meadowthread {
namespace {

constexpr std::size_t kMedian = 0;
constexpr std::size_t kTail = 2;  // 0.99

void RecordUpTo(int last, Summary* summary) {
  // 7919 is prime, so each value from 1 to `last` is recorded once, in
  // scattered order.
  for (int i = 0; i < last; ++i) {
    summary->Record(1 + (i * 7919) % last);
  }
}

Test(a_summary, is_zero_before_its_first_sample) {
  const Summary summary;
  cr_assert(summary.Count() == 0);
  cr_assert(summary.Mean() == 0);
  cr_assert(summary.Quantile(kTail) == 0);
}

Test(a_summary, is_exact_while_samples_are_few) {
  Summary summary;
  for (const double sample : {30.0, 10.0, 20.0}) {
    summary.Record(sample);
  }
  cr_assert(summary.Mean() == 20);
  cr_assert(summary.Quantile(kMedian) == 20);
  cr_assert(summary.Quantile(kTail) == 30);
}

Test(a_summary, estimates_the_tail_of_many) {
  Summary summary;
  RecordUpTo(10000, &summary);
  cr_assert(summary.Count() == 10000);
  cr_assert(std::abs(summary.Quantile(kMedian) - 5000) < 100);
  cr_assert(std::abs(summary.Quantile(kTail) - 9900) < 100);
}

Test(a_summary, forgets_quantiles_after_two_rotations) {
  Summary summary;
  RecordUpTo(1000, &summary);
  summary.Rotate();
  cr_assert(summary.Quantile(kTail) > 900);
  summary.Record(7);
  summary.Rotate();
  cr_assert(summary.Quantile(kTail) == 7);
  cr_assert(summary.Count() == 1001);
}

Test(a_summary, ignores_nan) {
  Summary summary;
  summary.Record(std::numeric_limits<double>::quiet_NaN());
  summary.Record(2);
  cr_assert(summary.Sum() == 2);
}

}  // namespace
}  // namespace meadowthread
