// A host's part in handing out engines, over its life.
#include "allocation/allocation_duty.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "base/manual_scheduler.h"
#include "policy/local_allocation.h"
#include "policy/tests/fleet_fixture.h"

namespace meadowthread {
namespace {

struct NoSink final : public LoadSink {
  void OnNotes(std::string_view, std::span<const EngineLoadNote>) override {}
};

/// @brief Two hosts of one zone, so that both hand out places; the other one
/// never answers.
struct Story {
  explicit Story(std::size_t direct_hosts = 1) : fleet(2) {
    this->options.self = {"self", "z"};
    this->options.pressure.zone = "z";
    this->options.direct_hosts = direct_hosts;
    this->duty = std::make_unique<AllocationDuty>(
        this->options,
        AllocationParts{this->hub, this->fleet.state, this->local, this->loads,
                        this->scheduler, this->clock, this->arrivals,
                        this->random});
    this->duty->Start([this] { return this->hosts; });
  }
  void Pass(std::int64_t ms) {
    for (std::int64_t gone = 0; gone < ms; gone += 50) {
      this->clock.Advance(50);
      this->scheduler.RunDue();
    }
  }
  /// @brief Whether this host hands out a place itself now.
  bool Places() {
    PlaceAsk ask;
    ask.group = "z/0";
    ask.work = testing::Work("r");
    const std::int64_t before =
        this->fleet.state.ReadingTokens(0, this->Now()) +
        this->fleet.state.ReadingTokens(1, this->Now());
    ask.origin = "other";
    this->duty->On("other", ask);
    return this->fleet.state.ReadingTokens(0, this->Now()) +
               this->fleet.state.ReadingTokens(1, this->Now()) >
           before;
  }
  std::int64_t Now() const { return this->clock.WallMs(); }

  ManualClock clock{1'000};
  ManualScheduler scheduler{&this->clock};
  testing::Fleet fleet;
  PressureChooser chooser{PressureOptions{}};
  ArrivalLimits arrivals{"self"};
  std::mt19937_64 random{1};
  LocalAllocation local{this->chooser, this->fleet.state, this->clock,
                        this->random};
  NoSink loads;
  DatagramHub hub{"self", 18'000, 1, this->clock};
  std::vector<AllocatorHost> hosts = {{"self", "z"}, {"other", "z"}};
  AllocationOptions options;
  std::unique_ptr<AllocationDuty> duty;
};

Test(a_host_that_gets_a_group, hands_out_once_the_others_have_told) {
  Story story;
  cr_assert(story.duty->Duties() == 1 && !story.duty->IsEverybody());
  cr_assert(!story.Places());
  story.Pass(200);
  cr_assert(story.Places());
}

// A host that stood still believes what was: it would hand out engines that are
// full or gone.
Test(a_host_that_stood_still, hands_out_nothing_until_it_is_told_anew) {
  Story story;
  story.Pass(300);
  cr_assert(story.Places());
  story.clock.Advance(5'000);
  cr_assert(!story.Places(), "what came meanwhile is read first");
  story.scheduler.RunDue();
  cr_assert(!story.Places());
  story.Pass(200);
  cr_assert(story.Places());
}

Test(a_host_that_stops, has_no_group_any_more) {
  Story story;
  story.Pass(300);
  story.hosts.erase(story.hosts.begin());
  story.hosts.push_back({"third", "z"});
  story.Pass(300);
  cr_assert(story.duty->Duties() == 0);
  cr_assert(!story.Places());
}

Test(a_small_fleet, tells_everybody_and_hands_out_nothing) {
  Story story(2);
  story.Pass(300);
  cr_assert(story.duty->IsEverybody() && story.duty->Duties() == 0);
}

Test(notes_of_an_engine, go_to_the_hosts_that_hand_it_out) {
  Story story;
  story.Pass(300);
  cr_assert(story.duty->HostsFor("e0") == std::vector<std::string>{"other"});
  cr_assert(story.duty->HostsFor("unknown").empty());
}

}  // namespace
}  // namespace meadowthread
