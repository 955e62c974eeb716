// The servers that a host may send to, as their entries come and go.
#include "relay/backend_list.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "base/manual_scheduler.h"
#include "relay/tests/played_lapse.h"

namespace meadowthread {
namespace {

BackendEntry Entry(const std::string& id) {
  BackendEntry entry;
  entry.id = id;
  entry.service = "pool";
  entry.address = "10.0.0.1:80";
  return entry;
}

struct Story {
  ManualClock clock{1'000};
  ManualScheduler scheduler{&this->clock};
  testing::PlayedLapse lapse;
  BackendList list{this->clock, this->scheduler, this->lapse};
  std::vector<BackendChange> told;

  Story() {
    this->list.AddListener([this](BackendChange change, const Backend&) {
      this->told.push_back(change);
    });
    this->list.Set(Entry("a"));
    this->list.Set(Entry("b"));
    this->told.clear();
  }
  std::size_t Usable() const { return this->list.Usable("pool").size(); }
  /// @brief The store is back: entries may have lapsed.
  void ComeBack() { this->lapse.until_ms = this->clock.MonotonicMs() + 2'200; }
  void Pass(std::int64_t ms) {
    this->clock.Advance(ms);
    this->scheduler.RunDue();
  }
};

BackendEntry InZone(const std::string& id, const std::string& zone) {
  BackendEntry entry = Entry(id);
  entry.zone = zone;
  return entry;
}

Test(an_emptied_zone, gets_nothing_new_until_it_is_taken_back) {
  Story story;
  story.list.Set(InZone("a", "west"));
  story.told.clear();
  story.list.SetZoneEmptied("west", true);
  cr_assert(story.Usable() == 1 && !story.list.TakesNew("a"));
  cr_assert(!story.list.Find("a")->leaving, "what runs there stays");
  story.list.SetZoneEmptied("west", true);
  cr_assert(story.told == std::vector<BackendChange>{BackendChange::kChanged});
  story.list.SetZoneEmptied("west", false);
  cr_assert(story.Usable() == 2);
}

Test(an_emptied_zone, is_known_before_its_servers_are) {
  Story story;
  story.list.SetZoneEmptied("west", true);
  story.list.Set(InZone("c", "west"));
  cr_assert(!story.list.TakesNew("c"));
  story.list.Set(InZone("c", "east"));
  cr_assert(story.list.TakesNew("c"), "its entry tells another zone now");
  story.list.Set(InZone("a", "west"));
  cr_assert(!story.list.TakesNew("a"));
}

Test(an_emptied_zone, lets_a_move_that_was_under_way_end_for_a_second) {
  Story story;
  story.list.Set(InZone("a", "west"));
  story.list.SetZoneEmptied("west", true);
  const std::int64_t now_ms = story.clock.MonotonicMs();
  cr_assert(story.list.Find("a")->MayGoOn(now_ms + 999));
  cr_assert(!story.list.Find("a")->MayGoOn(now_ms + 1'000));
  story.Pass(2'000);
  story.list.Set(InZone("a", "west"));
  cr_assert(!story.list.Find("a")->MayGoOn(now_ms + 2'000),
            "an entry that is written again is no news of the zone");
}

Test(a_service, whose_zones_are_all_emptied_is_so_only_while_servers_live) {
  Story story;
  cr_assert(!story.list.IsEmptied("pool"));
  story.list.Set(InZone("a", "west"));
  story.list.Set(InZone("b", "east"));
  story.list.SetZoneEmptied("west", true);
  cr_assert(!story.list.IsEmptied("pool"));
  story.list.SetZoneEmptied("east", true);
  cr_assert(story.list.IsEmptied("pool") && !story.list.IsEmptied("other"));
  story.list.NoteLeaving("a");
  story.list.NoteLeaving("b");
  cr_assert(!story.list.IsEmptied("pool"), "it has none at all");
}

Test(a_server, is_in_the_region_of_its_zone) {
  Story story;
  story.list.SetRegions({{"west", "cebu"}});
  story.list.Set(InZone("a", "west"));
  story.list.Set(InZone("b", "east"));
  cr_assert(story.list.Find("a")->region == "cebu");
  cr_assert(story.list.Find("b")->region.empty());
  cr_assert(story.list.HasHome("pool", {{"cebu"}}));
  cr_assert(!story.list.HasHome("pool", {{"luzon"}}));
}

Test(a_server_whose_entry_names_it_no_more, gets_nothing_new_and_stays_known) {
  Story story;
  story.list.SetAside("a");
  cr_assert(story.Usable() == 1);
  cr_assert(story.list.Find("a") != nullptr && !story.list.Find("a")->leaving);
  cr_assert(story.told == std::vector<BackendChange>{BackendChange::kChanged},
            "its runs go on: nothing is told of leaving");
  story.list.SetAside("a");
  cr_assert(story.told.size() == 1, "told once however often it is rewritten");
  story.Pass(3'600'000);
  cr_assert(story.list.Find("a") != nullptr && story.Usable() == 1);
}

Test(a_server_whose_entry_names_it_no_more, is_used_again_once_it_does) {
  Story story;
  story.list.SetAside("a");
  story.list.Set(Entry("a"));
  cr_assert(story.Usable() == 2);
  BackendEntry leaving = Entry("a");
  leaving.leaving = true;
  story.list.SetAside("a");
  story.list.Set(leaving);
  cr_assert(story.told.back() == BackendChange::kLeaving &&
            story.Usable() == 1);
}

Test(a_server_whose_entry_names_it_no_more, leaves_when_the_entry_is_removed) {
  Story story;
  story.list.SetAside("a");
  story.list.Remove("a");
  cr_assert(story.told.back() == BackendChange::kLeaving);
  story.Pass(60'000);
  cr_assert(story.list.Find("a") == nullptr);
}

Test(a_server_whose_entry_names_it_no_more, leaves_when_it_says_so_itself) {
  Story story;
  story.list.SetAside("a");
  story.list.NoteLeaving("a");
  cr_assert(story.told.back() == BackendChange::kLeaving);
  story.list.Set(Entry("a"));
  cr_assert(story.Usable() == 1, "what it said of leaving stands");
}

Test(a_server_whose_entry_names_it_no_more, is_not_listed_anew_by_it) {
  Story story;
  story.ComeBack();
  story.list.Remove("a");
  cr_assert(story.Usable() == 2, "it may have lapsed");
  story.list.SetAside("a");
  cr_assert(story.Usable() == 1);
  story.Pass(2'200);
  cr_assert(story.told.back() == BackendChange::kLeaving);
}

Test(a_server_whose_entry_names_it_no_more,
     is_another_one_when_it_starts_anew) {
  Story story;
  BackendEntry entry = Entry("a");
  entry.started_ms = 1'000;
  story.list.Set(entry);
  story.list.SetAside("a");
  entry.started_ms = 2'000;
  story.list.Set(entry);
  cr_assert(story.Usable() == 2 && story.list.Count() == 2);
  cr_assert(story.list.FindById("a")->entry.started_ms == 2'000);
}

Test(a_name_that_was_never_a_servers, is_none_whatever_stands_there) {
  Story story;
  story.list.SetAside("c");
  cr_assert(story.told.empty() && story.list.Count() == 2);
  story.list.Remove("c");
  cr_assert(story.told.empty() && story.list.All().size() == 2);
}

}  // namespace
}  // namespace meadowthread
