// Announcements of planned stops between hosts.
#include "exchange/stop_datagrams.h"

#include <criterion/criterion.h>

#include "base/manual_scheduler.h"

namespace meadowthread {
namespace {

using nlohmann::json;

struct Fixture {
  ManualClock clock{1'000};
  ManualScheduler scheduler{&this->clock};
  DatagramHub hub{"a", 18'000, 1, this->clock};
  StopDatagrams stops{this->hub, this->clock, this->scheduler};
};

Test(a_host_that_stops, is_unavailable_until_the_announced_time) {
  Fixture fixture;
  cr_assert(fixture.stops.AvailableInMs("b") == 0);
  fixture.stops.Receive("b", json::array({8'400}));
  cr_assert(fixture.stops.AvailableInMs("b") == 8'400);
  fixture.clock.Advance(3'000);
  cr_assert(fixture.stops.AvailableInMs("b") == 5'400);
  fixture.stops.Receive("b", json::array({400}));
  cr_assert(fixture.stops.AvailableInMs("b") == 400, "it ended sooner");
  fixture.clock.Advance(400);
  cr_assert(fixture.stops.AvailableInMs("b") == 0);
}

Test(a_host_that_stops, announces_less_often_to_a_large_fleet) {
  cr_assert(StopRepeatMs(5) == 500);
  cr_assert(StopRepeatMs(349) > 2'000 && StopRepeatMs(349) < 3'000);
}

Test(an_invalid_stop_announcement, is_ignored_or_clamped) {
  Fixture fixture;
  for (const json& wrong : {json("x"), json::array({"x"}), json::array({1, 2}),
                            json::object(), json::array({1.5})}) {
    fixture.stops.Receive("b", wrong);
    cr_assert(fixture.stops.AvailableInMs("b") == 0);
  }
  fixture.stops.Receive("b", json::array({-5}));
  cr_assert(fixture.stops.AvailableInMs("b") == 0);
  fixture.stops.Receive("b", json::array({1'000'000'000}));
  cr_assert(fixture.stops.AvailableInMs("b") == 120'000, "bounded");
}

}  // namespace
}  // namespace meadowthread
