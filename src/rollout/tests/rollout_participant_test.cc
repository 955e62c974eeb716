// Orders that follow each other, orders that are withdrawn, and messages that
// a host does not take.
#include "rollout/rollout_participant.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <vector>

#include "base/manual_scheduler.h"

namespace meadowthread {
namespace {

using nlohmann::json;

/// @brief One host without others.
struct ParticipantFixture final : GossipChannel,
                                  RolloutStatusStore,
                                  VersionedTraffic {
  ParticipantFixture() { this->participant.Start(); }

  void SendToRandom(std::string_view, const json&, std::size_t) override {}
  void SendToHost(std::string_view, const json&, std::string_view) override {}

  void WriteStatus(std::string_view, const RolloutStatus& status, std::int64_t,
                   const Done& done) override {
    this->written = status;
    ++this->writes;
    this->scheduler.After(1, [this, done] { done(++this->version); });
  }

  bool AreOthersIdle(std::string_view, std::string_view) const override {
    return true;
  }
  std::vector<std::string> OtherVersions(std::string_view,
                                         std::string_view) const override {
    return {"v1"};
  }
  void Restrict(std::string_view, const VersionRestrictions& next) override {
    this->restrictions = next;
  }
  std::vector<std::string> HostNames() const override { return {"front-1"}; }

  void Order(const std::string& target, std::int64_t duration_ms) {
    this->participant.SetRollout({{"pool", target, duration_ms}, this->written},
                                 ++this->version);
  }
  void Elapse(std::int64_t ms) {
    for (std::int64_t n = 0; n < ms; ++n) {
      this->clock.Advance(1);
      this->scheduler.RunDue();
    }
  }
  VersionRule Rule() {
    return this->participant.RuleForRequest("pool", "route");
  }

  ManualClock clock{1'000'000};
  ManualScheduler scheduler{&this->clock};
  std::mt19937_64 random{5};
  std::optional<RolloutStatus> written;
  int writes = 0;
  std::int64_t version = 0;
  VersionRestrictions restrictions;
  RolloutParticipant participant{
      "front-1",
      {0.1, 50.0},
      {*this, *this, *this, this->clock, this->scheduler, this->random}};
};

Test(a_service_without_an_order, may_use_all_versions) {
  ParticipantFixture fixture;
  cr_assert(fixture.Rule().kind == VersionRule::Kind::kAny);
}

Test(an_order, is_recorded_as_running_once) {
  ParticipantFixture fixture;
  fixture.Order("v2", 60'000);
  fixture.Elapse(2'000);
  cr_assert(fixture.writes == 1);
  cr_assert(fixture.written->state == RolloutState::kRunning);
  cr_assert(fixture.Rule().kind != VersionRule::Kind::kAny);
}

Test(a_second_order, excludes_the_version_that_was_on_trial) {
  ParticipantFixture fixture;
  fixture.Order("v2", 60'000);
  fixture.Elapse(500);
  fixture.Order("v3", 60'000);
  cr_assert(fixture.restrictions.excluded == std::vector<std::string>{"v2"});
  fixture.Elapse(500);
  cr_assert(fixture.written->target_version == "v3");
  cr_assert(fixture.written->excluded_versions ==
            std::vector<std::string>{"v2"});
}

Test(a_withdrawn_order, excludes_the_version_that_was_on_trial) {
  ParticipantFixture fixture;
  fixture.Order("v2", 60'000);
  fixture.participant.Remove("pool");
  cr_assert(fixture.restrictions.excluded == std::vector<std::string>{"v2"});
  cr_assert(fixture.Rule().kind == VersionRule::Kind::kAny);
}

Test(a_withdrawn_order, that_was_decided_leaves_no_restrictions) {
  ParticipantFixture fixture;
  fixture.Order("v2", 1'000);
  fixture.Elapse(4'000);
  cr_assert(fixture.written->state == RolloutState::kRolledBack);
  cr_assert(fixture.restrictions.excluded == std::vector<std::string>{"v2"});
  fixture.participant.Remove("pool");
  cr_assert(fixture.restrictions.excluded.empty());
}

Test(a_rollout_that_is_over, writes_nothing_more) {
  ParticipantFixture fixture;
  fixture.Order("v2", 1'000);
  fixture.Elapse(4'000);
  const int before = fixture.writes;
  fixture.Elapse(10'000);
  cr_assert(fixture.writes == before);
}

Test(messages_that_are_malformed, are_counted_and_change_nothing) {
  ParticipantFixture fixture;
  fixture.Order("v2", 60'000);
  fixture.participant.OnReport("front-2", json("x"));
  fixture.participant.OnProgress("front-2", json::array({1, 2}));
  cr_assert(fixture.participant.Refused() == 2);
  cr_assert(fixture.participant.Running() == 1);
}

Test(messages_on_another_order, change_nothing) {
  ParticipantFixture fixture;
  fixture.Order("v2", 60'000);
  RolloutProgress progress;
  progress.order = {"pool", "v9", 60'000};
  progress.evaluator = "front-2";
  progress.stage = RolloutStage::kRolledBack;
  fixture.participant.OnProgress("front-2", ToJson(progress));
  cr_assert(fixture.participant.Running() == 1);
}

}  // namespace
}  // namespace meadowthread
