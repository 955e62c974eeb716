// Tests of AllocationParticipant: taking over groups, stalls and stops of a
// host.
#include "allocation/allocation_participant.h"

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

/// @brief Two hosts in one zone, so that both are allocators of its group. The
/// second host never answers.
struct Fixture {
  explicit Fixture(std::size_t direct_hosts = 1) : fleet(2) {
    this->options.self = {"self", "z"};
    this->options.pressure.zone = "z";
    this->options.direct_hosts = direct_hosts;
    this->participant = std::make_unique<AllocationParticipant>(
        this->options,
        AllocationDependencies{this->hub, this->fleet.state, this->local,
                               this->loads, this->scheduler, this->clock,
                               this->arrivals, this->permits, this->random});
    this->participant->Start([this] { return this->hosts; });
  }
  void Elapse(std::int64_t ms) {
    for (std::int64_t elapsed = 0; elapsed < ms; elapsed += 50) {
      this->clock.Advance(50);
      this->scheduler.RunDue();
    }
  }
  /// @brief Sends a request from the other host.
  /// @return whether this host placed it
  bool PlacesRequest() {
    PlacementRequest request;
    request.group = "z/0";
    request.work = testing::Work("r");
    const std::int64_t before =
        this->fleet.state.PrefillBacklog(0, this->Now()) +
        this->fleet.state.PrefillBacklog(1, this->Now());
    request.origin = "other";
    this->participant->OnMessage("other", request);
    return this->fleet.state.PrefillBacklog(0, this->Now()) +
               this->fleet.state.PrefillBacklog(1, this->Now()) >
           before;
  }
  std::int64_t Now() const { return this->clock.WallMs(); }

  ManualClock clock{1'000};
  ManualScheduler scheduler{&this->clock};
  testing::Fleet fleet;
  PressureChooser chooser{PressureOptions{}};
  ServerRateLimiter arrivals{"self"};
  NoServerPermits permits;
  std::mt19937_64 random{1};
  LocalAllocation local{this->chooser, this->fleet.state, this->clock,
                        this->random};
  NoSink loads;
  DatagramHub hub{"self", 18'000, 1, this->clock};
  std::vector<AllocatorHost> hosts = {{"self", "z"}, {"other", "z"}};
  AllocationOptions options;
  std::unique_ptr<AllocationParticipant> participant;
};

Test(a_host_that_gets_a_group, places_requests_after_collecting_load_reports) {
  Fixture fixture;
  cr_assert(fixture.participant->OwnGroupCount() == 1 &&
            !fixture.participant->IsEverybody());
  cr_assert(!fixture.PlacesRequest());
  fixture.Elapse(200);
  cr_assert(fixture.PlacesRequest());
}

// After a stall, the loads that a host knows are outdated: without new reports
// it would place requests on engines that are full or gone.
Test(a_stalled_host, places_nothing_until_it_has_new_load_reports) {
  Fixture fixture;
  fixture.Elapse(300);
  cr_assert(fixture.PlacesRequest());
  fixture.clock.Advance(5'000);
  cr_assert(!fixture.PlacesRequest(),
            "queued datagrams are read before the tick");
  fixture.scheduler.RunDue();
  cr_assert(!fixture.PlacesRequest());
  fixture.Elapse(200);
  cr_assert(fixture.PlacesRequest());
}

Test(a_stopping_host, is_not_an_allocator) {
  Fixture fixture;
  fixture.Elapse(300);
  fixture.hosts.erase(fixture.hosts.begin());
  fixture.hosts.push_back({"third", "z"});
  fixture.Elapse(300);
  cr_assert(fixture.participant->OwnGroupCount() == 0);
  cr_assert(!fixture.PlacesRequest());
}

Test(a_small_fleet, reports_to_all_hosts_and_has_no_allocators) {
  Fixture fixture(2);
  fixture.Elapse(300);
  cr_assert(fixture.participant->IsEverybody() &&
            fixture.participant->OwnGroupCount() == 0);
}

// An allocator chooses engines for hosts whose streams it does not see.
Test(an_engine_speed_that_another_host_measured, counts_at_the_allocator) {
  Fixture fixture;
  fixture.participant->OnMessage("other",
                                 SpeedObservation{"e0", 9'000, 18'000});
  cr_assert(fixture.fleet.state.Speeds().IsKnown(0));
  cr_assert(!fixture.fleet.state.Speeds().IsKnown(1));
  fixture.participant->OnMessage("other",
                                 SpeedObservation{"unknown", 9'000, 18'000});
  fixture.participant->OnMessage("other", SpeedObservation{"e1", 0, 0});
  cr_assert(!fixture.fleet.state.Speeds().IsKnown(1));
  cr_assert(fixture.fleet.state.Speeds().Ignored() == 1);
}

Test(load_notes_of_an_engine, go_to_its_allocators) {
  Fixture fixture;
  fixture.Elapse(300);
  cr_assert(fixture.participant->HostsFor("e0") ==
            std::vector<std::string>{"other"});
  cr_assert(fixture.participant->HostsFor("unknown").empty());
}

}  // namespace
}  // namespace meadowthread
