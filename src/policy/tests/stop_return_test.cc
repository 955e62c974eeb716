// When a request that a stopping host refuses comes back.
#include "policy/stop_return.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

constexpr std::int64_t kNoticedMs = 1'900;

// The stopping host itself is in zone "a" and back in eight seconds.
std::int64_t Return(std::vector<HostAway> others) {
  others.push_back({"a", 8'000});
  return ReturnAfterStopMs("a", others, kNoticedMs);
}

Test(a_request_refused_by_a_stop,
     comes_back_at_once_while_half_of_the_zone_serves) {
  cr_assert(Return({{"a", 0}, {"b", 0}}) == 20);
  cr_assert(Return({{"a", 0}, {"a", 0}, {"a", 0}, {"a", 3'000}}) == 20);
}

// The pattern: hosts restarted one after the other, each before the last is
// back. Of 20 streams a day refused by one stopping host, most found another
// one.
Test(a_request_refused_by_a_stop, waits_until_half_of_the_zone_is_back) {
  cr_assert(Return({{"a", 0}, {"a", 5'000}, {"a", 6'500}}) == 6'300);
  cr_assert(Return({{"a", 5'000}, {"a", 6'500}, {"b", 4'000}}) == 7'800);
}

Test(a_request_refused_by_a_stop, goes_to_another_zone_where_its_own_is_away) {
  cr_assert(Return({{"b", 0}, {"b", 0}}) == kNoticedMs, "once that is noticed");
  cr_assert(Return({{"b", 2'000}, {"b", 4'000}}) == 9'300, "all zones stop");
}

Test(a_request_refused_by_a_stop, of_the_only_host_waits_for_it) {
  cr_assert(Return({}) == 9'300);
}

}  // namespace
}  // namespace meadowthread
