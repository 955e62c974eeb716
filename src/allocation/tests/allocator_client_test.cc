// Tests of AllocatorClient: requests to allocators, and the fallback where none
// responds.
#include "allocation/allocator_client.h"

#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

#include "base/manual_scheduler.h"
#include "policy/tests/fleet_fixture.h"

namespace meadowthread {
namespace {

struct FakeChannel final : public AllocationChannel {
  void Send(std::string_view host, const PlacementRequest& request) override {
    this->requests.emplace_back(host, request);
  }
  void Send(std::string_view, const PlacementResponse&) override {}
  void Send(std::string_view host, const LinkRelease& release) override {
    this->releases.emplace_back(host, release);
  }
  void Send(std::string_view, const GroupPressure&) override {}
  void Send(std::string_view, const EngineAttempt&) override {}
  void Send(std::string_view, const PrefillObservation&) override {}
  void Send(std::string_view, const SpeedObservation&) override {}
  void RequestLoadReports() override {}
  void SendHeartbeats() override {}

  std::vector<std::pair<std::string, PlacementRequest>> requests;
  std::vector<std::pair<std::string, LinkRelease>> releases;
};

/// @brief Local allocation that always chooses the engine "alone".
struct FakeLocal final : public EngineAllocation {
  void Choose(const WorkItem&, const Chosen& chosen) override {
    Decision decision;
    decision.engine = "alone";
    chosen(decision);
  }
  bool IsShared() const override { return false; }
  void RequestMigration(const MigrationRequest&, const Chosen&) override {}
  void EndMigration(const MigrationRequest&) override {}
};

struct Fixture {
  Fixture() : fleet(3) {
    this->groups.SetHosts(std::vector<AllocatorHost>{
        {"h0", "z"}, {"h1", "z"}, {"h2", "z"}, {"h3", "z"}});
    this->groups.CountEngines(this->fleet.state);
    this->client.SetUsesAllocators(true);
  }
  void Choose() {
    this->client.Choose(testing::Work("r"), [this](const Decision& decision) {
      this->chosen.push_back(decision.engine.value_or("none"));
    });
  }
  void RequestMigration() {
    this->client.RequestMigration(this->move, [this](const Decision& decision) {
      this->chosen.push_back(decision.engine.value_or("none"));
    });
  }
  void Respond(PlacementStatus status, const std::string& engine = "") {
    PlacementResponse response;
    response.ticket = this->channel.requests.back().second.ticket;
    response.status = status;
    response.engine = engine;
    this->client.OnResponse(response);
  }
  void Elapse(std::int64_t ms) {
    this->clock.Advance(ms);
    this->scheduler.RunDue();
  }
  std::string LastAllocator() const {
    return this->channel.requests.back().first;
  }

  ManualClock clock{1'000};
  ManualScheduler scheduler{&this->clock};
  testing::Fleet fleet;
  EngineGroups groups;
  FakeChannel channel;
  FakeLocal local;
  AllocatorClient client{{"h9", "z"}, this->groups,  this->fleet.state,
                         this->local, this->channel, this->scheduler,
                         this->clock};
  MigrationRequest move{"e0", testing::Work("run")};
  std::vector<std::string> chosen;
};

Test(a_request, goes_to_the_engine_that_the_allocator_chose) {
  Fixture fixture;
  fixture.Choose();
  cr_assert(fixture.LastAllocator() == fixture.groups.AllocatorsOf("z/0")[0]);
  cr_assert(fixture.chosen.empty());
  fixture.Respond(PlacementStatus::kPlaced, "e1");
  fixture.Respond(PlacementStatus::kPlaced, "e2");
  fixture.Elapse(5'000);
  cr_assert(fixture.chosen == std::vector<std::string>{"e1"}, "once");
  cr_assert(fixture.channel.requests.size() == 1);
}

Test(a_request, that_no_engine_can_begin_in_time_gets_none) {
  Fixture fixture;
  fixture.Choose();
  fixture.Respond(PlacementStatus::kNoRoom);
  cr_assert(fixture.chosen == std::vector<std::string>{"none"});
}

Test(a_request, that_was_forwarded_in_vain_is_repeated_to_its_own_group) {
  Fixture fixture;
  fixture.Choose();
  PlacementResponse response;
  response.ticket = fixture.channel.requests.back().second.ticket;
  response.status = PlacementStatus::kNoRoom;
  response.was_forwarded = true;
  fixture.client.OnResponse(response);
  cr_assert(fixture.channel.requests.size() == 2);
  cr_assert(!fixture.channel.requests.back().second.may_forward);
  fixture.Respond(PlacementStatus::kPlaced, "e1");
  cr_assert(fixture.chosen == std::vector<std::string>{"e1"});
}

Test(an_allocator_that_does_not_respond, costs_one_timeout_and_is_suspected) {
  Fixture fixture;
  const std::vector<std::string> hosts = fixture.groups.AllocatorsOf("z/0");
  fixture.Choose();
  fixture.Elapse(59);
  cr_assert(fixture.LastAllocator() == hosts[0]);
  fixture.Elapse(1);
  cr_assert(fixture.LastAllocator() == hosts[1]);
  fixture.Respond(PlacementStatus::kPlaced, "e1");
  fixture.Choose();
  cr_assert(fixture.LastAllocator() == hosts[1],
            "the suspected one is not asked again");
  fixture.Elapse(60);
  cr_assert(fixture.chosen == (std::vector<std::string>{"e1", "alone"}));
  fixture.Choose();
  cr_assert(fixture.chosen.size() == 3, "both are suspected: no wait");
  fixture.client.NoteHeard(hosts[0]);
  fixture.Choose();
  cr_assert(fixture.LastAllocator() == hosts[0] && fixture.chosen.size() == 3);
}

Test(a_declined_request, goes_to_the_next_allocator) {
  Fixture fixture;
  fixture.Choose();
  fixture.Respond(PlacementStatus::kDeclined);
  cr_assert(fixture.LastAllocator() == fixture.groups.AllocatorsOf("z/0")[1]);
  fixture.Respond(PlacementStatus::kDeclined);
  cr_assert(fixture.chosen == std::vector<std::string>{"alone"});
}

Test(an_engine_that_this_host_knows_to_drain, is_rejected) {
  Fixture fixture;
  fixture.fleet.state.SetEngine({"e1", "z", true, true}, 0);
  fixture.Choose();
  fixture.Respond(PlacementStatus::kPlaced, "e1");
  cr_assert(fixture.channel.requests.back().second.avoid ==
            std::vector<std::string>{"e1"});
  fixture.Respond(PlacementStatus::kPlaced, "e2");
  cr_assert(fixture.chosen == std::vector<std::string>{"e2"});
}

Test(a_migration, waits_for_the_link_and_releases_it) {
  Fixture fixture;
  fixture.RequestMigration();
  fixture.Respond(PlacementStatus::kQueued);
  fixture.Elapse(250);
  cr_assert(fixture.channel.requests.size() == 2,
            "the response may have been lost");
  fixture.Respond(PlacementStatus::kQueued);
  fixture.Elapse(200);
  fixture.Respond(PlacementStatus::kPlaced, "e1");
  cr_assert(fixture.chosen == std::vector<std::string>{"e1"});
  cr_assert(fixture.channel.releases.empty());
  fixture.client.EndMigration(fixture.move);
  fixture.client.EndMigration(fixture.move);
  cr_assert(fixture.channel.releases.size() == 1);
  cr_assert(fixture.channel.releases[0].second.engine == "e0");
}

Test(a_migration, gives_up_when_it_never_gets_the_link) {
  Fixture fixture;
  fixture.RequestMigration();
  fixture.Respond(PlacementStatus::kQueued);
  for (int i = 0; i < 20 && fixture.chosen.empty(); ++i) {
    fixture.Elapse(250);
    if (fixture.chosen.empty()) {
      fixture.Respond(PlacementStatus::kQueued);
    }
  }
  cr_assert(fixture.chosen == std::vector<std::string>{"none"});
  cr_assert(fixture.channel.releases.size() == 1, "the request is withdrawn");
}

Test(a_small_fleet, asks_no_allocator) {
  Fixture fixture;
  fixture.client.SetUsesAllocators(false);
  fixture.Choose();
  cr_assert(fixture.chosen == std::vector<std::string>{"alone"});
  cr_assert(fixture.channel.requests.empty());
}

Test(engines_that_asked_this_host_for_backoff, are_not_to_be_chosen_for_it) {
  Fixture fixture;
  RequestedBackoffs backoffs;
  backoffs.Note("e1", 3'000, fixture.clock.MonotonicMs());
  backoffs.NoteTold("e2", 3'000, fixture.clock.MonotonicMs());
  fixture.client.SetBackoffs(backoffs);
  fixture.Choose();
  cr_assert(fixture.channel.requests.at(0).second.avoid ==
                std::vector<std::string>{"e1"},
            "another host's backoff does not bind this one");
}

}  // namespace
}  // namespace meadowthread
