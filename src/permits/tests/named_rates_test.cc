// Which of several statements about a server's rate holds.
#include "permits/named_rates.h"

#include <criterion/criterion.h>

#include <limits>

namespace meadowthread {
namespace {

RateAnswer Named(double per_s, std::int64_t sent_ms) {
  return {"s", {NamedRate::Kind::kNamed, per_s}, sent_ms, {}, true};
}

RateAnswer Unnamed(std::int64_t sent_ms) {
  return {"s", {}, sent_ms, {}, true};
}

Test(a_rate, holds_from_the_first_answer_that_names_it) {
  NamedRates rates;
  cr_assert(!rates.ApplyAnswer(Unnamed(0), 10));
  cr_assert(!rates.RateOf("s").has_value());
  cr_assert(rates.ApplyAnswer(Named(4.4, 20), 30));
  cr_assert(rates.RateOf("s") == 4.4);
  cr_assert(!rates.ApplyAnswer(Named(4.4, 40), 50), "nothing has changed");
}

Test(a_rate, ends_with_a_later_answer_that_names_none) {
  NamedRates rates;
  rates.ApplyAnswer(Named(4.4, 20), 30);
  cr_assert(rates.ApplyAnswer(Unnamed(30), 40));
  cr_assert(!rates.RateOf("s").has_value());
  cr_assert(rates.ApplyAnswer(Named(2.0, 50), 60), "it comes back");
}

// An answer that was on its way for long ended a rate that the server still
// named.
Test(a_rate, does_not_end_with_an_answer_that_may_be_older) {
  NamedRates rates;
  rates.ApplyAnswer(Named(4.4, 100), 110);
  cr_assert(!rates.ApplyAnswer(Unnamed(50), 500));
  cr_assert(rates.RateOf("s") == 4.4);
}

Test(a_rate, does_not_come_back_with_an_answer_that_is_older) {
  NamedRates rates;
  rates.ApplyAnswer(Named(4.4, 0), 10);
  rates.ApplyAnswer(Unnamed(100), 110);
  cr_assert(!rates.Apply("s", {2.0, 20, 90}, RateSource::kPeer));
  cr_assert(!rates.RateOf("s").has_value());
}

Test(the_lower_rate, holds_if_the_order_of_two_answers_is_unknown) {
  NamedRates rates;
  rates.ApplyAnswer(Named(4.4, 100), 200);
  cr_assert(!rates.ApplyAnswer(Named(9.0, 150), 220));
  cr_assert(rates.RateOf("s") == 4.4);
  cr_assert(rates.ApplyAnswer(Named(1.0, 150), 230));
  cr_assert(rates.RateOf("s") == 1.0);
  cr_assert(rates.ApplyAnswer(Named(9.0, 230), 240));
  cr_assert(rates.RateOf("s") == 9.0);
}

Test(a_rejection, ends_no_rate) {
  NamedRates rates;
  rates.ApplyAnswer(Named(4.4, 0), 10);
  RateAnswer rejection = Unnamed(20);
  rejection.ran = false;
  cr_assert(!rates.ApplyAnswer(rejection, 30));
  cr_assert(rates.RateOf("s") == 4.4);
}

Test(a_malformed_rate, changes_nothing) {
  NamedRates rates;
  const NamedRate malformed{NamedRate::Kind::kMalformed, 0.0};
  cr_assert(!rates.ApplyAnswer({"s", malformed, 0, {}, true}, 10));
  cr_assert(!rates.RateOf("s").has_value());
  rates.ApplyAnswer(Named(4.4, 20), 30);
  cr_assert(!rates.ApplyAnswer({"s", malformed, 40, {}, true}, 50));
  cr_assert(rates.RateOf("s") == 4.4);
}

// A server that named zero would never be asked again, and nobody would hear
// when its need ends.
Test(a_rate_of_zero, still_lets_a_request_through_now_and_then) {
  NamedRates rates;
  rates.ApplyAnswer(Named(0.0, 0), 10);
  cr_assert(rates.RateOf("s") == kMinNamedPerS);
}

Test(a_huge_rate, is_kept_as_a_finite_one) {
  NamedRates rates;
  rates.ApplyAnswer(Named(std::numeric_limits<double>::max(), 0), 10);
  cr_assert(rates.RateOf("s") == kMaxNamedPerS);
}

Test(a_server_that_is_gone, leaves_no_rate) {
  NamedRates rates;
  rates.ApplyAnswer(Named(4.4, 0), 10);
  cr_assert(rates.Count() == 1);
  rates.Remove("s");
  cr_assert(rates.Count() == 0 && !rates.RateOf("s").has_value());
}

}  // namespace
}  // namespace meadowthread
