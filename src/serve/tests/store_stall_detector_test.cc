// Detection of a store that cannot report changes of the engines.
#include "serve/store_stall_detector.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

struct Fixture {
  ManualClock clock{10'000};
  DatagramHub hub{"a", 18'000, 1, this->clock};
  StoreStallDetector stalls{this->hub, this->clock};

  std::int64_t Now() const { return this->clock.WallMs(); }
};

Test(a_store, that_was_read_recently_is_not_stalled) {
  Fixture fixture;
  cr_assert(!fixture.stalls.IsStalled(fixture.Now() - 2'900));
  cr_assert(fixture.stalls.IsStalled(fixture.Now() - 3'100));
}

Test(a_store, that_fails_for_this_host_is_stalled) {
  Fixture fixture;
  fixture.stalls.RecordOwn(true);
  cr_assert(fixture.stalls.IsStalled(fixture.Now()));
  fixture.stalls.RecordOwn(false);
  cr_assert(!fixture.stalls.IsStalled(fixture.Now()));
}

// Guards against late detection when engines leave just after the start of a
// store outage: hosts whose own watches still ran for 1.5 s would notice only
// after the engines were gone.
Test(a_store, that_fails_for_another_host_is_stalled_until_it_is_read_again) {
  Fixture fixture;
  const std::int64_t read_at = fixture.Now();
  fixture.clock.Advance(200);
  fixture.stalls.RecordPeer("b", true);
  cr_assert(fixture.stalls.IsStalled(read_at));
  fixture.clock.Advance(300);
  cr_assert(!fixture.stalls.IsStalled(fixture.Now()),
            "it failed for that host alone");
}

Test(a_peer_whose_watch_fails,
     counts_as_failing_until_it_recovers_or_times_out) {
  Fixture fixture;
  cr_assert(!fixture.stalls.IsStalledFor("b"));
  fixture.stalls.RecordPeer("b", true);
  cr_assert(fixture.stalls.IsStalledFor("b") &&
            !fixture.stalls.IsStalledFor("c"));
  fixture.stalls.RecordPeer("b", false);
  cr_assert(!fixture.stalls.IsStalledFor("b"));
  fixture.stalls.RecordPeer("b", true);
  fixture.clock.Advance(4'900);
  cr_assert(fixture.stalls.IsStalledFor("b"),
            "two of its notifications may be lost");
  fixture.clock.Advance(200);
  cr_assert(!fixture.stalls.IsStalledFor("b"));
}

}  // namespace
}  // namespace meadowthread
