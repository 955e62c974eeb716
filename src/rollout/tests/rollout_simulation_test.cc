// Rollouts over simulated fleets: what a bad version gets, and that a good one
// is completed without cutting off a request.
#include "rollout/tests/rollout_simulation.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <string>
#include <vector>

namespace meadowthread {
namespace {

using testing::RolloutOutcome;
using testing::RolloutScenario;
using testing::RolloutSimulation;
using testing::VersionBehaviour;

constexpr RolloutLimits kLimits = {0.1, 50.0};
constexpr std::int64_t kMaxAfterBadMs = 5'000;

RolloutOutcome Play(const RolloutScenario& scenario) {
  return RolloutSimulation(scenario).Play();
}

bool EndedAs(const RolloutOutcome& outcome, RolloutState state) {
  return outcome.status.has_value() && outcome.status->state == state &&
         outcome.status->target_version == "v2";
}

void ExpectRolledBack(const RolloutScenario& scenario) {
  const RolloutOutcome outcome = Play(scenario);
  cr_assert(EndedAs(outcome, RolloutState::kRolledBack), "%d hosts, kind %d",
            scenario.hosts, static_cast<int>(scenario.behaviour));
  cr_assert(outcome.ended_ms <= scenario.duration_ms, "ended after %d ms",
            static_cast<int>(outcome.ended_ms));
  cr_assert(outcome.IsWithinLimits(kLimits), "%d hosts, kind %d: %d of %d",
            scenario.hosts, static_cast<int>(scenario.behaviour),
            static_cast<int>(outcome.target_requests),
            static_cast<int>(outcome.requests));
  cr_assert(outcome.last_after_bad_ms <= kMaxAfterBadMs);
}

void ExpectCompleted(const RolloutScenario& scenario) {
  const RolloutOutcome outcome = Play(scenario);
  cr_assert(EndedAs(outcome, RolloutState::kCompleted), "%d hosts, seed %d",
            scenario.hosts, static_cast<int>(scenario.seed));
  cr_assert(outcome.ended_ms <= scenario.duration_ms, "ended after %d ms",
            static_cast<int>(outcome.ended_ms));
  cr_assert(outcome.cut_at_completion == 0);
  cr_assert(outcome.status->excluded_versions ==
            std::vector<std::string>{"v1"});
}

Test(a_good_version, is_completed_in_fleets_of_any_size) {
  for (const int hosts : {1, 9, 60, 300}) {
    RolloutScenario scenario;
    scenario.hosts = hosts;
    ExpectCompleted(scenario);
  }
}

Test(a_good_version, is_completed_at_a_low_request_rate) {
  RolloutScenario scenario;
  scenario.hosts = 30;
  scenario.requests_per_s = 15.0;
  ExpectCompleted(scenario);
}

Test(a_good_version, is_completed_after_all_hosts_restarted) {
  RolloutScenario scenario;
  scenario.restart_all_ms = 4'000;
  ExpectCompleted(scenario);
}

Test(a_good_version, is_completed_with_a_tenth_of_the_messages_lost) {
  RolloutScenario scenario;
  scenario.hosts = 60;
  scenario.message_loss = 0.1;
  ExpectCompleted(scenario);
}

Test(a_good_version, is_completed_once_the_store_is_back) {
  RolloutScenario scenario;
  scenario.store_down_from_ms = 5'000;
  scenario.store_down_until_ms = 14'000;
  const RolloutOutcome outcome = Play(scenario);
  cr_assert(EndedAs(outcome, RolloutState::kCompleted));
  cr_assert(outcome.ended_ms >= 14'000);
}

Test(a_bad_version, is_rolled_back_within_its_limits_in_fleets_of_any_size) {
  for (const int hosts : {9, 60, 300}) {
    for (const VersionBehaviour behaviour :
         {VersionBehaviour::kFailsAtOnce, VersionBehaviour::kFailsLate,
          VersionBehaviour::kFailsUnderLoad, VersionBehaviour::kFailsOnOneRoute,
          VersionBehaviour::kIsSlow}) {
      RolloutScenario scenario;
      scenario.hosts = hosts;
      scenario.behaviour = behaviour;
      ExpectRolledBack(scenario);
    }
  }
}

Test(a_bad_version, is_rolled_back_within_its_limits_by_a_thousand_hosts) {
  RolloutScenario scenario;
  scenario.hosts = 1'000;
  scenario.behaviour = VersionBehaviour::kFailsUnderLoad;
  ExpectRolledBack(scenario);
}

Test(a_good_version, is_completed_in_time_by_a_thousand_hosts) {
  RolloutScenario scenario;
  scenario.hosts = 1'000;
  ExpectCompleted(scenario);
}

Test(a_bad_version, is_rolled_back_while_the_store_takes_no_writes) {
  RolloutScenario scenario;
  scenario.behaviour = VersionBehaviour::kFailsAtOnce;
  scenario.store_down_from_ms = 1'000;
  scenario.store_down_until_ms = 15'000;
  const RolloutOutcome outcome = Play(scenario);
  cr_assert(EndedAs(outcome, RolloutState::kRolledBack));
  cr_assert(outcome.IsWithinLimits(kLimits));
  cr_assert(outcome.last_after_bad_ms <= kMaxAfterBadMs);
}

Test(a_bad_version, gets_no_more_from_hosts_that_are_cut_off) {
  RolloutScenario scenario;
  scenario.hosts = 60;
  scenario.behaviour = VersionBehaviour::kFailsLate;
  scenario.cut_off = 20;
  const RolloutOutcome outcome = Play(scenario);
  cr_assert(EndedAs(outcome, RolloutState::kRolledBack));
  cr_assert(outcome.IsWithinLimits(kLimits));
}

Test(a_version_without_servers, is_rolled_back) {
  RolloutScenario scenario;
  scenario.without_servers = true;
  const RolloutOutcome outcome = Play(scenario);
  cr_assert(EndedAs(outcome, RolloutState::kRolledBack));
  cr_assert(outcome.ended_ms <= scenario.duration_ms);
}

Test(an_order_without_time, is_rolled_back) {
  RolloutScenario scenario;
  scenario.duration_ms = 0;
  cr_assert(EndedAs(Play(scenario), RolloutState::kRolledBack));
}

Test(the_messages_of_a_rollout, stay_within_a_hosts_control_traffic) {
  constexpr double kMaxBytesPerSecond = 29'000.0;
  for (const int hosts : {60, 600}) {
    RolloutScenario scenario;
    scenario.hosts = hosts;
    const RolloutOutcome outcome = Play(scenario);
    const double seconds = static_cast<double>(scenario.duration_ms) / 1'000.0;
    cr_assert(static_cast<double>(outcome.most_bytes_of_a_host) / seconds <
              kMaxBytesPerSecond);
  }
}

}  // namespace
}  // namespace meadowthread
