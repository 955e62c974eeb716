// Learning how fast engines prefill prompts.
#include "policy/prefill_rate.h"

#include <criterion/criterion.h>

#include <cmath>

namespace meadowthread {
namespace {

Test(a_prefill_rate, follows_first_events) {
  PrefillRate rate;
  for (int i = 0; i < 60; ++i) {
    rate.Observe(6'000, 1'800);
  }
  cr_assert(std::abs(rate.MsPerToken() - 0.3) < 0.01);
  cr_assert(std::abs(rate.ExpectedMs(1'000) - 300.0) < 10.0);
}

Test(a_prefill_rate, is_not_distorted_by_one_stream_that_hung) {
  PrefillRate rate;
  const double before = rate.MsPerToken();
  rate.Observe(3'000, 60'000);
  cr_assert(rate.MsPerToken() < before * 1.3);
}

Test(a_prefill_rate, learns_nothing_from_tiny_prompts) {
  PrefillRate rate;
  const double before = rate.MsPerToken();
  rate.Observe(20, 30);
  cr_assert(rate.MsPerToken() == before);
}

}  // namespace
}  // namespace meadowthread
