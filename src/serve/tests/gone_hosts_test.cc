// Entries of hosts that are gone for good.
#include "serve/gone_hosts.h"

#include <criterion/criterion.h>

#include "base/manual_scheduler.h"
#include "store/memory_store.h"

namespace meadowthread {
namespace {

EntryHost Entry(const std::string& name, const std::string& zone) {
  return {name, "10.0.0.1", 1, 2, zone, "r"};
}

struct Story {
  ManualClock clock{1'000};
  GoneHosts gone{"b", clock};
  Story() {
    this->gone.SetKnown({Entry("a", "north"), Entry("b", "north"),
                         Entry("c", "north"), Entry("d", "south")});
  }
  /// @brief Time passes in which these hosts are heard every second.
  void Pass(std::int64_t seconds, const std::vector<std::string>& heard) {
    for (std::int64_t i = 0; i < seconds; ++i) {
      this->clock.Advance(1'000);
      for (const std::string& host : heard) {
        this->gone.NoteHeard(host);
      }
    }
  }
};

Test(a_host_that_is_silent, is_gone_after_a_minute_while_its_zone_is_heard) {
  Story story;
  story.Pass(5, {"a", "c", "d"});
  story.Pass(59, {"c", "d"});
  cr_assert(story.gone.ToRemove().empty());
  story.Pass(1, {"c", "d"});
  cr_assert(story.gone.ToRemove() == std::vector<std::string>{"a"});
}

Test(a_host_that_is_silent, may_be_cut_off_with_its_whole_zone) {
  Story story;
  story.Pass(90, {"c"});
  cr_assert(story.gone.ToRemove() == std::vector<std::string>{"a"},
            "the south is silent as a whole");
}

Test(a_host_that_hears_nobody, takes_nobody_for_gone) {
  Story story;
  story.Pass(90, {});
  cr_assert(story.gone.ToRemove().empty());
}

Test(the_duty, is_the_first_heard_hosts_alone) {
  Story story;
  story.Pass(90, {"a", "d"});
  cr_assert(story.gone.ToRemove().empty(), "a has it");
}

Test(a_host_that_was_listed_anew, is_given_its_time_again) {
  Story story;
  story.Pass(59, {"c"});
  story.gone.SetKnown({Entry("b", "north"), Entry("c", "north")});
  story.gone.SetKnown(
      {Entry("a", "north"), Entry("b", "north"), Entry("c", "north")});
  story.Pass(30, {"c"});
  cr_assert(story.gone.ToRemove().empty());
}

Test(an_entry, that_was_removed_of_a_living_host_is_written_anew) {
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
  HostEntries entries("hosts", Entry("b", "north"), store, view, scheduler);
  entries.Announce();
  store.Settle();
  sync();
  cr_assert(view.Live("hosts").size() == 1);
  // Another host takes it for gone.
  HostEntries other("hosts", Entry("a", "north"), store, view, scheduler);
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
