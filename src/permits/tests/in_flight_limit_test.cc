// How many calls a brittle server may have in flight.
#include "permits/in_flight_limit.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

constexpr std::int64_t kRaiseAfterMs = 1'200;

/// @brief A server whose calls are numbered from 1.
struct Server {
  bool Start(std::int64_t now_ms) {
    const bool may = this->limit.MayStart(now_ms, kRaiseAfterMs);
    if (may) {
      this->limit.NoteStarted(++this->last, now_ms);
    }
    return may;
  }

  InFlightLimit limit;
  std::uint64_t last = 0;
};

Test(a_server_that_has_rejected_nothing, has_no_limit_in_flight) {
  Server server;
  for (int n = 0; n < 100; ++n) {
    cr_assert(server.Start(1));
  }
}

// Guards against chance rejections: at a rate that fits its slots, a server of
// two slots met both taken for one call in five.
Test(a_server_that_rejected_its_third_call, gets_two_at_once) {
  Server server;
  for (int n = 0; n < 3; ++n) {
    cr_assert(server.Start(1));
  }
  server.limit.NoteRejected(2);
  server.limit.NoteEnded(3);
  cr_assert(!server.Start(3), "two are in flight");
  server.limit.NoteEnded(1);
  cr_assert(server.Start(4));
  cr_assert(!server.Start(5));
}

Test(a_rejection_of_the_only_call, leaves_one_at_once) {
  Server server;
  cr_assert(server.Start(1));
  server.limit.NoteRejected(2);
  server.limit.NoteEnded(1);
  cr_assert(server.Start(3));
  cr_assert(!server.Start(4));
}

Test(a_rejection_without_a_counted_call, sets_no_limit) {
  Server server;
  server.limit.NoteRejected(2);
  cr_assert(!server.limit.Limit().has_value());
}

// Guards against a limit that was learned while other work took the slots.
Test(a_limit_that_is_reached_without_rejections, rises_by_one_at_a_time) {
  Server server;
  cr_assert(server.Start(1));
  server.limit.NoteRejected(2);
  cr_assert(!server.Start(2 + kRaiseAfterMs - 1));
  cr_assert(server.Start(2 + kRaiseAfterMs));
  cr_assert(!server.Start(3 + kRaiseAfterMs));
  cr_assert(*server.limit.Limit() == 2);
}

// Guards against calls whose end was lost holding slots as long as others
// start and end.
Test(a_call_whose_end_is_never_reported, is_not_counted_for_long) {
  Server server;
  cr_assert(server.Start(1) && server.Start(1) && server.Start(1));
  server.limit.NoteRejected(2);
  server.limit.NoteEnded(2);
  server.limit.NoteEnded(3);
  for (std::int64_t now_ms = 100; now_ms <= 2'000; now_ms += 100) {
    cr_assert(server.Start(now_ms));
    server.limit.NoteEnded(server.last);
    cr_assert(server.limit.InFlight() == 1, "the lost one");
  }
  cr_assert(server.Start(2'001));
  cr_assert(server.limit.InFlight() == 1);
  cr_assert(*server.limit.Limit() == 2);
}

}  // namespace
}  // namespace meadowthread
