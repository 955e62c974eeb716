// What hosts know of each other's planned stops.
#include "exchange/stop_datagrams.h"

#include <criterion/criterion.h>

#include "base/manual_scheduler.h"

namespace meadowthread {
namespace {

using nlohmann::json;

struct Story {
  ManualClock clock{1'000};
  ManualScheduler scheduler{&this->clock};
  DatagramHub hub{"a", 18'000, 1, this->clock};
  StopDatagrams stops{this->hub, this->clock, this->scheduler};
};

Test(a_host_that_stops, is_away_until_the_time_it_told) {
  Story story;
  cr_assert(story.stops.BackInMs("b") == 0);
  story.stops.Take("b", json::array({8'400}));
  cr_assert(story.stops.BackInMs("b") == 8'400);
  story.clock.Advance(3'000);
  cr_assert(story.stops.BackInMs("b") == 5'400);
  story.stops.Take("b", json::array({400}));
  cr_assert(story.stops.BackInMs("b") == 400, "it ended sooner");
  story.clock.Advance(400);
  cr_assert(story.stops.BackInMs("b") == 0);
}

Test(a_host_that_stops, tells_a_large_fleet_less_often) {
  cr_assert(StopAgainMs(5) == 500);
  cr_assert(StopAgainMs(349) > 2'000 && StopAgainMs(349) < 3'000);
}

Test(what_is_no_word_of_a_stop, changes_nothing) {
  Story story;
  for (const json& wrong : {json("x"), json::array({"x"}), json::array({1, 2}),
                            json::object(), json::array({1.5})}) {
    story.stops.Take("b", wrong);
    cr_assert(story.stops.BackInMs("b") == 0);
  }
  story.stops.Take("b", json::array({-5}));
  cr_assert(story.stops.BackInMs("b") == 0);
  story.stops.Take("b", json::array({1'000'000'000}));
  cr_assert(story.stops.BackInMs("b") == 120'000, "bounded");
}

}  // namespace
}  // namespace meadowthread
