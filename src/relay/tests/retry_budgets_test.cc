// Which backend servers may be sent to, by their entries and by their deeds.
#include "relay/retry_budgets.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <vector>

#include "base/manual_scheduler.h"
#include "relay/backend_health.h"
#include "relay/backend_list.h"
#include "relay/tests/played_lapse.h"
namespace meadowthread {
namespace {

struct Fixture {
  ManualClock clock{10'000};
  ManualScheduler scheduler{&clock};
  testing::PlayedLapse lapse;
  BackendList list{clock, scheduler, lapse};
  std::vector<BackendChange> changes;
  std::vector<Backend> about;  ///< what each change was about

  Fixture() {
    list.AddListener([this](BackendChange change, const Backend& backend) {
      changes.push_back(change);
      about.push_back(backend);
    });
  }
  /// @brief The store is back: entries may have lapsed.
  void ComeBack() { lapse.until_ms = clock.MonotonicMs() + 2'200; }
  void Set(const std::string& id, bool leaving = false) {
    this->SetStart(id, std::nullopt, leaving);
  }
  void SetStart(const std::string& id, std::optional<std::int64_t> started_ms,
                bool leaving = false) {
    BackendEntry entry;
    entry.id = id;
    entry.started_ms = started_ms;
    entry.service = "pool";
    entry.address = "10.0.0.1:80";
    entry.leaving = leaving;
    list.Set(entry);
  }
  std::size_t Usable() const { return list.Usable("pool").size(); }
  void Pass(std::int64_t ms) {
    clock.Advance(ms);
    scheduler.RunDue();
  }
};

Test(a_server, that_says_it_leaves_gets_nothing_new_and_stays_known) {
  Fixture f;
  f.Set("a");
  f.Set("b");
  cr_assert(f.Usable() == 2);
  f.Set("a", true);
  cr_assert(f.Usable() == 1 && f.list.Find("a") != nullptr);
  cr_assert(f.changes.back() == BackendChange::kLeaving);
  // and told again, it is no news
  const std::size_t told = f.changes.size();
  f.Set("a", true);
  f.list.Remove("a");
  cr_assert(std::count(f.changes.begin() + static_cast<std::ptrdiff_t>(told),
                       f.changes.end(), BackendChange::kLeaving) == 0);
}

Test(a_server, whose_entry_vanishes_leaves_at_once) {
  Fixture f;
  f.Set("a");
  f.list.Remove("a");
  cr_assert(f.Usable() == 0);
  cr_assert(f.changes.back() == BackendChange::kLeaving);
  // it is forgotten once what runs there has long ended
  f.Pass(60'001);
  cr_assert(f.list.Find("a") == nullptr);
  cr_assert(f.changes.back() == BackendChange::kGone);
}

Test(a_server,
     whose_entry_lapsed_with_the_store_counts_until_it_is_listed_anew) {
  Fixture f;
  f.Set("a");
  f.Set("b");
  f.ComeBack();
  f.Pass(100);
  f.list.Remove("a");
  f.list.Remove("b");
  cr_assert(f.Usable() == 2, "both may live");
  f.Pass(1'000);
  f.Set("a");
  f.Pass(1'200);
  cr_assert(f.Usable() == 1, "the one that did not come back is gone");
  cr_assert(f.list.Usable("pool")[0]->entry.id == "a");
}

Test(a_server, that_was_leaving_is_not_taken_for_lapsed) {
  Fixture f;
  f.Set("a", true);
  f.ComeBack();
  f.list.Remove("a");
  cr_assert(f.Usable() == 0);
}

Test(a_server, that_says_itself_that_it_leaves_gets_nothing_new) {
  Fixture f;
  f.Set("a");
  f.list.NoteLeaving("a");
  cr_assert(f.Usable() == 0);
  cr_assert(f.changes.back() == BackendChange::kLeaving);
  // and its entry, written before, does not bring it back
  f.Set("a");
  cr_assert(f.Usable() == 0);
}

Test(a_server_that_starts_again, is_gone_first_and_added_then) {
  Fixture f;
  f.SetStart("a", 5'000);
  f.list.NoteLeaving("a/5000");
  f.SetStart("a", 6'000);
  const std::size_t last = f.changes.size() - 1;
  cr_assert(f.changes[last - 1] == BackendChange::kGone);
  cr_assert(f.about[last - 1].key == "a/5000" &&
            f.about[last - 1].started_again);
  cr_assert(f.changes[last] == BackendChange::kAdded);
  cr_assert(f.about[last].key == "a/6000" && !f.about[last].said_so);
  cr_assert(f.list.Find("a/5000") == nullptr && f.Usable() == 1);
  // Its own word that it leaves was the start's before.
  cr_assert(f.list.Usable("pool")[0]->key == "a/6000");
  // Removed, it is the new start that leaves.
  f.list.Remove("a");
  cr_assert(f.about.back().key == "a/6000" && f.Usable() == 0);
}

Test(a_server_that_starts_again, does_not_come_back_as_it_was) {
  Fixture f;
  f.SetStart("a", 6'000);
  const std::size_t told = f.changes.size();
  f.SetStart("a", 5'000, true);
  cr_assert(f.changes.size() == told && f.Usable() == 1);
  cr_assert(f.list.Find("a/5000") == nullptr);
}

// Its clock may have been put back for good: its own entry, taken away, is what
// ends the word of the start before.
Test(a_server_that_starts_again,
     at_an_earlier_time_counts_once_its_entry_went) {
  Fixture f;
  f.SetStart("a", 6'000);
  f.SetStart("a", 5'000);
  cr_assert(f.list.Usable("pool")[0]->key == "a/6000");
  f.list.Remove("a");
  f.SetStart("a", 5'000);
  cr_assert(f.Usable() == 1 && f.list.Usable("pool")[0]->key == "a/5000");
  cr_assert(f.list.Find("a/6000") == nullptr);
  // That what runs there has ended is not proved by an earlier start.
  const std::size_t gone = f.changes.size() - 2;
  cr_assert(f.changes[gone] == BackendChange::kGone);
  cr_assert(f.about[gone].key == "a/6000" && !f.about[gone].started_again);
  // What was planned for the start that is gone touches no other.
  f.Pass(60'001);
  cr_assert(f.Usable() == 1);
}

Test(a_server_that_starts_again, does_not_lapse_for_the_start_before) {
  Fixture f;
  f.SetStart("a", 5'000);
  f.ComeBack();
  f.list.Remove("a");
  f.SetStart("a", 6'000);
  f.list.Remove("a");
  f.SetStart("a", 6'000);
  f.Pass(2'300);
  cr_assert(f.Usable() == 1 && f.list.Usable("pool")[0]->key == "a/6000");
}

Test(a_server, whose_start_is_not_told_is_the_one_that_is_known) {
  Fixture f;
  f.Set("a");
  f.SetStart("a", 5'000);
  f.Set("a");
  cr_assert(f.list.Count() == 1 && f.list.Find("a") != nullptr);
  cr_assert(f.list.Find("a")->entry.started_ms == 5'000);
  cr_assert(std::count(f.changes.begin(), f.changes.end(),
                       BackendChange::kGone) == 0);
  // And the known start stands: a newer one is another life of it.
  f.SetStart("a", 6'000);
  cr_assert(f.list.Find("a") == nullptr && f.Usable() == 1);
}

Test(what_a_start_did, is_not_held_against_the_next) {
  BackendHealth health;
  health.Note("a/5000", AttemptResult::kUnreachable, 1'000);
  cr_assert(!health.MayUse("a/5000", 1'001));
  cr_assert(health.MayUse("a/6000", 1'001));
  cr_assert(health.FailureShare("a/6000", 1'001) == 0.0);
}

Test(an_address, that_another_life_took_over_is_the_living_ones) {
  Fixture f;
  f.Set("old");
  f.list.Remove("old");
  f.Set("new");
  cr_assert(f.list.FindAddress("10.0.0.1:80")->entry.id == "new");
}

Test(a_server_that_cannot_be_reached, is_told_with_how_long_it_is_set_aside) {
  BackendHealth health;
  std::vector<std::int64_t> aside;
  health.SetListener(
      [&aside](const HealthNews& news) { aside.push_back(news.aside_ms); });
  health.Note("s", AttemptResult::kUnreachable, 1'000);
  health.Note("s", AttemptResult::kUnreachable, 1'500);
  health.Note("s", AttemptResult::kGood, 9'000);
  cr_assert(aside == (std::vector<std::int64_t>{400, 800, 0}));
}

Test(a_server_that_cannot_be_reached, is_set_aside_longer_each_time) {
  BackendHealth health;
  health.Note("a", AttemptResult::kUnreachable, 0);
  cr_assert(!health.MayUse("a", 399) && health.MayUse("a", 400));
  health.Note("a", AttemptResult::kUnreachable, 400);
  cr_assert(!health.MayUse("a", 1'199) && health.MayUse("a", 1'200));
  // an answer, good or bad, shows that it is there
  health.Note("a", AttemptResult::kFailed, 1'200);
  health.Note("a", AttemptResult::kUnreachable, 1'300);
  cr_assert(health.MayUse("a", 1'700));
}

Test(a_failing_server, is_told_by_its_share_of_failures_and_forgiven) {
  BackendHealth health;
  double told = 0.0;
  health.SetListener(
      [&told](const HealthNews& news) { told = news.failure_share; });
  for (int i = 0; i < 10; ++i) {
    health.Note("grey", AttemptResult::kFailed, 0);
    health.Note("good", AttemptResult::kGood, 0);
  }
  cr_assert(told < 0.05 && health.FailureShare("grey", 0) > 0.7);
  cr_assert(health.FailureShare("grey", 40'000) < 0.1);
  cr_assert(health.FailureShare("never seen", 0) == 0.0);
}

Test(a_single_failure, weighs_little) {
  BackendHealth health;
  health.Note("a", AttemptResult::kFailed, 0);
  cr_assert(health.FailureShare("a", 0) < 0.3);
}

Test(the_retries_of_all_hosts_together, stay_within_the_bound) {
  constexpr int kHosts = 9;
  constexpr int kRequests = 100;
  int granted = 0;
  for (int host = 0; host < kHosts; ++host) {
    RetryBudgets budgets({0.2, 58.0});
    budgets.SetHosts(kHosts);
    for (int i = 0; i < kRequests; ++i) {
      budgets.Of("pool").NoteFirstAttempt();
    }
    for (int i = 0; i < kRequests; ++i) {
      granted += budgets.Of("pool").Ask({1, 0, 2}, 0, 1).verdict ==
                         RetryVerdict::kRetry
                     ? 1
                     : 0;
    }
  }
  cr_assert(granted <= 0.2 * kHosts * kRequests + 58.0);
  cr_assert(granted > 20);
}

Test(the_retries_of_one_request, stay_within_its_routes_attempts) {
  RetryBudgets budgets({0.2, 58.0});
  RetryBudget& budget = budgets.Of("pool");
  cr_assert(budget.Ask({1, 0, 2}, 0, 1).verdict == RetryVerdict::kRetry);
  cr_assert(budget.Ask({2, 0, 2}, 0, 1).verdict == RetryVerdict::kAttempts);
  cr_assert(budget.Ask({1, 0, 1}, 0, 1).verdict == RetryVerdict::kAttempts);
}

}  // namespace
}  // namespace meadowthread
