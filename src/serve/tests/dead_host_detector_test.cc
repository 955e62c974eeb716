// Removal of the entries of hosts that are permanently gone.
#include "serve/dead_host_detector.h"

#include <criterion/criterion.h>

#include "base/manual_scheduler.h"
#include "store/memory_store.h"

namespace meadowthread {
namespace {

EntryHost Entry(const std::string& name, const std::string& zone) {
  return {name, "10.0.0.1", 1, 2, zone, "r"};
}

struct Fixture {
  ManualClock clock{1'000};
  DeadHostDetector gone{"b", clock};
  Fixture() {
    this->gone.SetKnown({Entry("a", "north"), Entry("b", "north"),
                         Entry("c", "north"), Entry("d", "south")});
  }
  /// @brief Advances time, during which these hosts are heard every second.
  void AdvanceTime(std::int64_t seconds,
                   const std::vector<std::string>& heard) {
    for (std::int64_t i = 0; i < seconds; ++i) {
      this->clock.Advance(1'000);
      for (const std::string& host : heard) {
        this->gone.NoteHeard(host);
      }
    }
  }
};

Test(a_silent_host, is_dead_after_a_minute_while_its_zone_is_heard) {
  Fixture fixture;
  fixture.AdvanceTime(5, {"a", "c", "d"});
  fixture.AdvanceTime(59, {"c", "d"});
  cr_assert(fixture.gone.HostsToRemove().empty());
  fixture.AdvanceTime(1, {"c", "d"});
  cr_assert(fixture.gone.HostsToRemove() == std::vector<std::string>{"a"});
}

Test(a_silent_host, is_not_dead_if_its_whole_zone_is_silent) {
  Fixture fixture;
  fixture.AdvanceTime(90, {"c"});
  cr_assert(fixture.gone.HostsToRemove() == std::vector<std::string>{"a"},
            "zone south is silent as a whole");
}

Test(a_host_that_hears_nobody, declares_no_host_dead) {
  Fixture fixture;
  fixture.AdvanceTime(90, {});
  cr_assert(fixture.gone.HostsToRemove().empty());
}

Test(removal, is_left_to_the_first_live_host_by_name) {
  Fixture fixture;
  fixture.AdvanceTime(90, {"a", "d"});
  cr_assert(fixture.gone.HostsToRemove().empty(), "host a removes it");
}

Test(a_host_that_was_listed_again, gets_the_full_timeout_again) {
  Fixture fixture;
  fixture.AdvanceTime(59, {"c"});
  fixture.gone.SetKnown({Entry("b", "north"), Entry("c", "north")});
  fixture.gone.SetKnown(
      {Entry("a", "north"), Entry("b", "north"), Entry("c", "north")});
  fixture.AdvanceTime(30, {"c"});
  cr_assert(fixture.gone.HostsToRemove().empty());
}

Test(an_entry, of_a_live_host_is_written_again_after_its_removal) {
  ManualClock clock{1'000};
  ManualScheduler scheduler{&clock};
  MemoryStore store;
  ReplicatedView view(clock, std::vector<std::string_view>{"hosts"});
  const auto sync = [&] {
    store.List("hosts", view.Digest("hosts").revision,
               [&](const absl::StatusOr<ObjectList>& list) {
                 view.ApplyList("hosts", view.Digest("hosts").revision, *list,
                                {clock.WallMs(), "b"});
               });
    store.Settle();
  };
  EntryHostRegistry entries("hosts", Entry("b", "north"), store, view,
                            scheduler);
  entries.Announce();
  store.Settle();
  sync();
  cr_assert(view.Live("hosts").size() == 1);
  // Another host declares it dead.
  EntryHostRegistry other("hosts", Entry("a", "north"), store, view, scheduler);
  other.Remove("b");
  store.Settle();
  sync();
  store.Settle();
  clock.Advance(2'000);
  scheduler.RunDue();
  store.Settle();
  sync();
  cr_assert(view.Find("hosts", "b") != nullptr);
}

}  // namespace
}  // namespace meadowthread
