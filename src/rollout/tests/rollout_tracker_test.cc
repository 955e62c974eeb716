// What a host takes from the store and from other hosts on a rollout.
#include "rollout/rollout_tracker.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace meadowthread {
namespace {

constexpr RolloutLimits kLimits = {0.1, 50.0};
const RolloutOrder kOrder = {"pool", "v2", 12'000};

RolloutProgress Told(const std::string& evaluator, RolloutStage stage,
                     std::int64_t number, std::int64_t incarnation = 1) {
  RolloutProgress progress;
  progress.order = kOrder;
  progress.evaluator = evaluator;
  progress.incarnation = incarnation;
  progress.number = number;
  progress.stage = stage;
  progress.share = stage == RolloutStage::kAll ? 1.0 : 0.4;
  return progress;
}

RolloutTracker Tracker() { return {{kOrder, std::nullopt}, 1, kLimits, 0}; }

Test(a_host_that_hears_nothing, keeps_to_the_share_of_the_trial) {
  RolloutTracker tracker = Tracker();
  cr_assert(tracker.Share(0) == UnguidedShare(kLimits));
  cr_assert(UnguidedShare(kLimits) <= kLimits.max_bad_share);
}

Test(progress, counts_only_while_it_is_fresh) {
  RolloutTracker tracker = Tracker();
  cr_assert(tracker.ApplyProgress(Told("a", RolloutStage::kAll, 1), 0));
  cr_assert(tracker.Share(RolloutTracker::kProgressValidMs) == 1.0);
  cr_assert(tracker.Share(RolloutTracker::kProgressValidMs + 1) ==
            UnguidedShare(kLimits));
}

Test(progress, that_is_late_or_duplicated_changes_nothing) {
  RolloutTracker tracker = Tracker();
  tracker.ApplyProgress(Told("a", RolloutStage::kPartial, 2), 0);
  cr_assert(!tracker.ApplyProgress(Told("a", RolloutStage::kAll, 1), 0));
  cr_assert(!tracker.ApplyProgress(Told("a", RolloutStage::kPartial, 2), 0));
  cr_assert(tracker.Stage(0) == RolloutStage::kPartial);
}

Test(progress, of_a_host_that_has_restarted_counts) {
  RolloutTracker tracker = Tracker();
  tracker.ApplyProgress(Told("a", RolloutStage::kAll, 9, 1), 0);
  cr_assert(tracker.ApplyProgress(Told("a", RolloutStage::kTrial, 1, 2), 0));
  cr_assert(tracker.Stage(0) == RolloutStage::kTrial);
}

Test(a_version_called_bad_by_any_host, stays_bad) {
  RolloutTracker tracker = Tracker();
  tracker.ApplyProgress(Told("a", RolloutStage::kRolledBack, 1), 0);
  tracker.ApplyProgress(Told("b", RolloutStage::kAll, 1), 0);
  cr_assert(!tracker.IsRunning() && tracker.Share(0) == 0.0);
  cr_assert(tracker.ExcludedVersions() == std::vector<std::string>{"v2"});
}

Test(a_status, excludes_the_versions_that_it_names) {
  RolloutTracker tracker = Tracker();
  RolloutStatus status = InitialStatus(kOrder, std::vector<std::string>{}, 5);
  status = FinalStatus(status, RolloutState::kCompleted,
                       std::vector<std::string>{"v1"});
  tracker.SetStatus({kOrder, status}, 2);
  cr_assert(tracker.Stage(0) == RolloutStage::kEmptied);
  cr_assert(tracker.ExcludedVersions() == std::vector<std::string>{"v1"});
}

Test(an_older_status, changes_nothing) {
  RolloutTracker tracker = Tracker();
  const RolloutStatus running =
      InitialStatus(kOrder, std::vector<std::string>{}, 5);
  tracker.SetStatus({kOrder, FinalStatus(running, RolloutState::kRolledBack,
                                         std::vector<std::string>{})},
                    3);
  tracker.SetStatus({kOrder, running}, 2);
  cr_assert(!tracker.IsRunning());
}

Test(an_order_in_place_of_one_that_was_not_decided, excludes_its_target) {
  const RolloutStatus earlier =
      InitialStatus(kOrder, std::vector<std::string>{}, 5);
  const RolloutTracker next({{"pool", "v3", 12'000}, earlier}, 2, kLimits, 0);
  cr_assert(next.IsRunning());
  cr_assert(next.ExcludedVersions() == std::vector<std::string>{"v2"});
}

Test(an_order_for_a_version_that_was_rolled_back, tries_it_again) {
  const RolloutStatus earlier =
      FinalStatus(InitialStatus(kOrder, std::vector<std::string>{}, 5),
                  RolloutState::kRolledBack, std::vector<std::string>{});
  const RolloutTracker next({{"pool", "v2", 20'000}, earlier}, 4, kLimits, 0);
  cr_assert(next.IsRunning() && next.ExcludedVersions().empty());
}

// The older copy of the store held the order without the decision.
Test(a_decided_rollout, does_not_run_again_by_an_older_copy) {
  RolloutTracker tracker = Tracker();
  RolloutStatus status = InitialStatus(kOrder, {}, 0);
  status.state = RolloutState::kRolledBack;
  tracker.SetStatus({kOrder, status}, 2);
  status.state = RolloutState::kRunning;
  tracker.SetStatus({kOrder, status}, 3);
  cr_assert(!tracker.IsRunning() && tracker.LacksDecision());
  cr_assert(tracker.Version() == 3, "it is written for the present version");
  status.state = RolloutState::kRolledBack;
  tracker.SetStatus({kOrder, status}, 4);
  cr_assert(!tracker.LacksDecision());
}

}  // namespace
}  // namespace meadowthread
