// What a full server that bears few rejections gets.
#include "permits/rejection_limits.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

/// @brief Rejections of one host's requests, which it counts itself.
struct RejectingServer {
  explicit RejectingServer(double bears_per_s) {
    this->limits.NoteBrittle("s", bears_per_s);
  }
  bool Reject(std::int64_t now_ms, std::size_t hosts = 1) {
    const auto rejection = this->limits.Describe("s", hosts, now_ms);
    return rejection.has_value() && this->limits.Count("s", *rejection);
  }

  RejectionLimits limits;
};

Test(a_server_that_is_not_brittle, is_not_limited_by_its_rejections) {
  RejectionLimits limits;
  cr_assert(!limits.Describe("s", 9, 1'000).has_value());
  cr_assert(!limits.RateOf("s", 1'000).has_value());
}

Test(a_brittle_server, may_reject_some_requests) {
  RejectingServer server(10.0);
  for (const std::int64_t now_ms : {1'000, 1'300, 1'600, 2'100, 2'400}) {
    cr_assert(!server.Reject(now_ms));
  }
  cr_assert(server.Reject(2'500), "four within a second");
}

Test(a_brittle_server, gets_what_it_may_reject_once_it_rejects_too_many) {
  RejectingServer server(4.0);
  cr_assert(server.Reject(1'000));
  cr_assert(server.limits.RateOf("s", 1'000) == 2.0);
}

Test(a_brittle_server, gets_somewhat_less_than_it_took_before) {
  RejectingServer server(4.0);
  for (int n = 0; n < 10; ++n) {
    server.limits.NoteRan("s", 1'000);
  }
  cr_assert(server.Reject(1'000, 3));
  cr_assert(server.limits.RateOf("s", 1'000) == 0.5 * 10.0 * 3.0);
}

Test(a_brittle_server, gets_more_and_more_until_it_rejects_again) {
  RejectingServer server(4.0);
  server.Reject(1'000);
  cr_assert(server.limits.RateOf("s", 2'500) == 4.0);
  cr_assert(server.limits.RateOf("s", 4'000) == 8.0);
  cr_assert(server.Reject(4'000));
  cr_assert(server.limits.RateOf("s", 4'000) == 0.5 * 8.0);
  cr_assert(!server.limits.RateOf("s", 10'000).has_value());
}

// A server whose places stay taken would have to reject all that the search
// upward sends.
Test(a_brittle_server_that_stays_full, gets_no_more_than_it_can_reject) {
  RejectingServer server(4.0);
  for (int n = 0; n < 30; ++n) {
    server.limits.NoteRan("s", 1'000);
  }
  server.Reject(1'000, 9);
  server.Reject(1'200, 9);
  cr_assert(server.limits.RateOf("s", 1'200) == 2.0);
}

Test(rejections_at_the_same_moment, lower_the_rate_once) {
  RejectingServer server(4.0);
  cr_assert(server.Reject(1'000));
  cr_assert(!server.Reject(1'080));
  cr_assert(server.Reject(1'200));
}

Test(a_rate_that_another_host_lowered, holds_unless_it_is_older) {
  RejectionLimits limits;
  cr_assert(limits.Apply("s", {4.0, 9.0, 1'000}));
  cr_assert(!limits.Apply("s", {4.0, 2.0, 900}));
  cr_assert(limits.RateOf("s", 1'000) == 9.0);
}

Test(a_server_that_bears_next_to_nothing, is_still_asked_now_and_then) {
  RejectingServer server(0.0);
  server.Reject(1'000);
  cr_assert(server.limits.RateOf("s", 1'000) == 0.5);
}

}  // namespace
}  // namespace meadowthread
