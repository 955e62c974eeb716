// When a request that a stopping host refuses should be retried.
#include "policy/stop_retry_after.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

constexpr std::int64_t kNoticedMs = 1'900;

// The stopping host itself is in zone "a" and accepts requests again in eight
// seconds.
std::int64_t RetryAfter(std::vector<HostAvailability> others) {
  others.push_back({"a", 8'000});
  return RetryAfterStopMs("a", others, kNoticedMs);
}

Test(a_request_refused_by_a_stopping_host,
     is_retried_at_once_while_half_of_the_zone_serves) {
  cr_assert(RetryAfter({{"a", 0}, {"b", 0}}) == 20);
  cr_assert(RetryAfter({{"a", 0}, {"a", 0}, {"a", 0}, {"a", 3'000}}) == 20);
}

// Guards against repeated refusals during a rolling restart in which each host
// stops before the previous one is back: of the 20 streams refused by one
// stopping host in a day, most were retried on another stopping host.
Test(a_request_refused_by_a_stopping_host,
     waits_until_half_of_the_zone_is_back) {
  cr_assert(RetryAfter({{"a", 0}, {"a", 5'000}, {"a", 6'500}}) == 6'300);
  cr_assert(RetryAfter({{"a", 5'000}, {"a", 6'500}, {"b", 4'000}}) == 7'800);
}

Test(a_request_refused_by_a_stopping_host,
     goes_to_another_zone_if_its_own_is_down) {
  cr_assert(RetryAfter({{"b", 0}, {"b", 0}}) == kNoticedMs,
            "once the load balancer has noticed");
  cr_assert(RetryAfter({{"b", 2'000}, {"b", 4'000}}) == 9'300,
            "no zone has half of its hosts ready");
}

Test(a_request_refused_by_a_stopping_host, waits_for_the_only_host) {
  cr_assert(RetryAfter({}) == 9'300);
}

}  // namespace
}  // namespace meadowthread
