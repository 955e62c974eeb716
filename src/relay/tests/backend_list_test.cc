// Changes of entries, availability zones and starts in the list of backend
// servers.
#include "relay/backend_list.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "base/manual_scheduler.h"
#include "relay/tests/fake_grace_period.h"

namespace meadowthread {
namespace {

BackendEntry Entry(const std::string& id) {
  BackendEntry entry;
  entry.id = id;
  entry.service = "pool";
  entry.address = "10.0.0.1:80";
  return entry;
}

struct BackendListFixture {
  ManualClock clock{1'000};
  ManualScheduler scheduler{&this->clock};
  testing::FakeGracePeriod grace;
  BackendList list{this->clock, this->scheduler, this->grace};
  std::vector<BackendChange> changes;

  BackendListFixture() {
    this->list.AddListener([this](BackendChange change, const Backend&) {
      this->changes.push_back(change);
    });
    this->list.Set(Entry("a"));
    this->list.Set(Entry("b"));
    this->changes.clear();
  }
  std::size_t Usable() const { return this->list.Usable("pool").size(); }
  /// @brief The store has just come back: removed entries may have expired.
  void ReturnStore() {
    this->grace.until_ms = this->clock.MonotonicMs() + 2'200;
  }
  void Advance(std::int64_t ms) {
    this->clock.Advance(ms);
    this->scheduler.RunDue();
  }
};

BackendEntry InZone(const std::string& id, const std::string& zone) {
  BackendEntry entry = Entry(id);
  entry.zone = zone;
  return entry;
}

BackendEntry OfVersion(const std::string& id, const std::string& version) {
  BackendEntry entry = Entry(id);
  entry.version = version;
  return entry;
}

Test(an_excluded_version, gets_no_requests_and_no_resumed_runs) {
  BackendListFixture fixture;
  fixture.list.Set(OfVersion("a", "v2"));
  fixture.list.SetExcludedVersions("pool", std::vector<std::string>{"v2"});
  cr_assert(fixture.Usable() == 1 && !fixture.list.AcceptsNewRequests("a"));
  cr_assert(!fixture.list.Find("a")->MayContinueRuns(0));
  cr_assert(!fixture.list.Find("a")->leaving);
  fixture.list.Set(OfVersion("c", "v2"));
  cr_assert(!fixture.list.AcceptsNewRequests("c"),
            "a server that is listed later as well");
  fixture.list.SetExcludedVersions("pool", {});
  cr_assert(fixture.Usable() == 3);
}

Test(an_excluded_version, of_another_service_does_not_count) {
  BackendListFixture fixture;
  fixture.list.Set(OfVersion("a", "v2"));
  fixture.list.SetExcludedVersions("app", std::vector<std::string>{"v2"});
  cr_assert(fixture.Usable() == 2);
}

Test(an_emptied_zone, gets_no_new_requests_until_put_back_into_use) {
  BackendListFixture fixture;
  fixture.list.Set(InZone("a", "west"));
  fixture.changes.clear();
  fixture.list.SetZoneEmptied("west", true);
  cr_assert(fixture.Usable() == 1 && !fixture.list.AcceptsNewRequests("a"));
  cr_assert(!fixture.list.Find("a")->leaving,
            "it has not left, so its runs go on");
  fixture.list.SetZoneEmptied("west", true);
  cr_assert(fixture.changes ==
            std::vector<BackendChange>{BackendChange::kChanged});
  fixture.list.SetZoneEmptied("west", false);
  cr_assert(fixture.Usable() == 2);
}

Test(an_emptied_zone, applies_to_servers_listed_later) {
  BackendListFixture fixture;
  fixture.list.SetZoneEmptied("west", true);
  fixture.list.Set(InZone("c", "west"));
  cr_assert(!fixture.list.AcceptsNewRequests("c"));
  fixture.list.Set(InZone("c", "east"));
  cr_assert(fixture.list.AcceptsNewRequests("c"),
            "its entry has another zone now");
  fixture.list.Set(InZone("a", "west"));
  cr_assert(!fixture.list.AcceptsNewRequests("a"));
}

Test(an_emptied_zone, lets_moves_in_progress_complete_for_a_second) {
  BackendListFixture fixture;
  fixture.list.Set(InZone("a", "west"));
  fixture.list.SetZoneEmptied("west", true);
  const std::int64_t now_ms = fixture.clock.MonotonicMs();
  cr_assert(fixture.list.Find("a")->MayContinueRuns(now_ms + 999));
  cr_assert(!fixture.list.Find("a")->MayContinueRuns(now_ms + 1'000));
  fixture.Advance(2'000);
  fixture.list.Set(InZone("a", "west"));
  cr_assert(!fixture.list.Find("a")->MayContinueRuns(now_ms + 2'000),
            "writing the entry again does not renew the time");
}

Test(a_service, counts_as_emptied_only_while_it_has_live_servers) {
  BackendListFixture fixture;
  cr_assert(!fixture.list.IsEmptied("pool"));
  fixture.list.Set(InZone("a", "west"));
  fixture.list.Set(InZone("b", "east"));
  fixture.list.SetZoneEmptied("west", true);
  cr_assert(!fixture.list.IsEmptied("pool"));
  fixture.list.SetZoneEmptied("east", true);
  cr_assert(fixture.list.IsEmptied("pool") && !fixture.list.IsEmptied("other"));
  fixture.list.NoteLeaving("a");
  fixture.list.NoteLeaving("b");
  cr_assert(!fixture.list.IsEmptied("pool"), "it has no live server");
}

Test(a_server, is_in_the_region_of_its_zone) {
  BackendListFixture fixture;
  fixture.list.SetRegions({{"west", "cebu"}});
  fixture.list.Set(InZone("a", "west"));
  fixture.list.Set(InZone("b", "east"));
  cr_assert(fixture.list.Find("a")->region == "cebu");
  cr_assert(fixture.list.Find("b")->region.empty());
  cr_assert(fixture.list.HasServerInHomeRegions("pool", {{"cebu"}}));
  cr_assert(!fixture.list.HasServerInHomeRegions("pool", {{"luzon"}}));
}

Test(a_server_with_an_invalid_entry, gets_no_new_requests_and_stays_known) {
  BackendListFixture fixture;
  fixture.list.MarkEntryInvalid("a");
  cr_assert(fixture.Usable() == 1);
  cr_assert(fixture.list.Find("a") != nullptr &&
            !fixture.list.Find("a")->leaving);
  cr_assert(
      fixture.changes == std::vector<BackendChange>{BackendChange::kChanged},
      "it has not left, so its runs go on");
  fixture.list.MarkEntryInvalid("a");
  cr_assert(fixture.changes.size() == 1,
            "further invalid entries are no change");
  fixture.Advance(3'600'000);
  cr_assert(fixture.list.Find("a") != nullptr && fixture.Usable() == 1);
}

Test(a_server_with_an_invalid_entry, is_used_again_once_the_entry_is_valid) {
  BackendListFixture fixture;
  fixture.list.MarkEntryInvalid("a");
  fixture.list.Set(Entry("a"));
  cr_assert(fixture.Usable() == 2);
  BackendEntry leaving = Entry("a");
  leaving.leaving = true;
  fixture.list.MarkEntryInvalid("a");
  fixture.list.Set(leaving);
  cr_assert(fixture.changes.back() == BackendChange::kLeaving &&
            fixture.Usable() == 1);
}

Test(a_server_with_an_invalid_entry, leaves_when_the_entry_is_removed) {
  BackendListFixture fixture;
  fixture.list.MarkEntryInvalid("a");
  fixture.list.Remove("a");
  cr_assert(fixture.changes.back() == BackendChange::kLeaving);
  fixture.Advance(60'000);
  cr_assert(fixture.list.Find("a") == nullptr);
}

Test(a_server_with_an_invalid_entry, leaves_when_it_reports_so_itself) {
  BackendListFixture fixture;
  fixture.list.MarkEntryInvalid("a");
  fixture.list.NoteLeaving("a");
  cr_assert(fixture.changes.back() == BackendChange::kLeaving);
  fixture.list.Set(Entry("a"));
  cr_assert(fixture.Usable() == 1, "its own report of leaving still holds");
}

Test(a_server_with_an_invalid_entry, does_not_count_as_listed_again) {
  BackendListFixture fixture;
  fixture.ReturnStore();
  fixture.list.Remove("a");
  cr_assert(fixture.Usable() == 2, "its entry may only have expired");
  fixture.list.MarkEntryInvalid("a");
  cr_assert(fixture.Usable() == 1);
  fixture.Advance(2'200);
  cr_assert(fixture.changes.back() == BackendChange::kLeaving);
}

Test(a_server_with_an_invalid_entry, is_another_one_after_a_restart) {
  BackendListFixture fixture;
  BackendEntry entry = Entry("a");
  entry.started_ms = 1'000;
  fixture.list.Set(entry);
  fixture.list.MarkEntryInvalid("a");
  entry.started_ms = 2'000;
  fixture.list.Set(entry);
  cr_assert(fixture.Usable() == 2 && fixture.list.Count() == 2);
  cr_assert(fixture.list.FindById("a")->entry.started_ms == 2'000);
}

Test(an_invalid_entry, under_an_unknown_id_adds_no_server) {
  BackendListFixture fixture;
  fixture.list.MarkEntryInvalid("c");
  cr_assert(fixture.changes.empty() && fixture.list.Count() == 2);
  fixture.list.Remove("c");
  cr_assert(fixture.changes.empty() && fixture.list.All().size() == 2);
}

// Its entry may lapse while the store is away, and then still says ready.
Test(a_server_that_said_that_it_leaves, is_leaving_until_that_start_is_gone) {
  BackendListFixture fixture;
  fixture.list.NoteLeaving("a", "its_answer");
  fixture.list.Set(Entry("a"));
  cr_assert(!fixture.list.AcceptsNewRequests("a"), "its entry says ready");
  fixture.ReturnStore();
  fixture.list.Remove("a");
  for (int n = 0; n < 20; ++n) {
    fixture.Advance(30'000);
  }
  cr_assert(fixture.list.Find("a") == nullptr);
  fixture.list.Set(Entry("a"));
  cr_assert(!fixture.list.AcceptsNewRequests("a"), "its entry lapsed");
  cr_assert(fixture.list.AcceptsNewRequests("b"));
}

// Another host's word may come before the entry.
Test(a_server_that_said_that_it_leaves, may_be_listed_later) {
  BackendListFixture fixture;
  fixture.list.NoteLeaving("c", "another_host");
  fixture.list.Set(Entry("c"));
  cr_assert(!fixture.list.AcceptsNewRequests("c"));
}

/////////////////////////////
// A store's older copy
/////////////////////////////

BackendEntry InEra(const std::string& id, std::int64_t era,
                   std::int64_t sequence) {
  BackendEntry entry = Entry(id);
  entry.era = era;
  entry.sequence = sequence;
  return entry;
}

Test(a_server_that_said_it_leaves, is_not_ready_again_by_an_older_entry) {
  BackendListFixture fixture;
  BackendEntry leaving = InEra("a", 3, 7);
  leaving.leaving = true;
  fixture.list.Set(leaving);
  fixture.list.Set(InEra("a", 4, 6));
  cr_assert(!fixture.list.AcceptsNewRequests("a"));
  fixture.list.Remove("a");
  fixture.list.Set(InEra("a", 5, 6));
  cr_assert(!fixture.list.AcceptsNewRequests("a"));
}

Test(a_removed_server, is_not_in_use_again_by_an_older_copy) {
  BackendListFixture fixture;
  fixture.list.Set(InEra("a", 3, 7));
  fixture.list.Remove("a");
  fixture.list.Set(InEra("a", 4, 7));
  cr_assert(!fixture.list.AcceptsNewRequests("a"));
  fixture.Advance(4'000);
  fixture.list.Remove("a");
  fixture.Advance(2'000);
  cr_assert(!fixture.list.AcceptsNewRequests("a"), "its entry has expired");
}

Test(a_removed_server, is_in_use_again_once_it_writes_its_entry) {
  BackendListFixture fixture;
  fixture.list.Set(InEra("a", 3, 7));
  fixture.list.Remove("a");
  fixture.list.Set(InEra("a", 4, 7));
  fixture.list.Set(InEra("a", 4, 8));
  cr_assert(fixture.list.AcceptsNewRequests("a"));
}

Test(a_removed_server, is_in_use_again_if_its_entry_does_not_expire) {
  BackendListFixture fixture;
  fixture.list.Set(InEra("a", 3, 7));
  fixture.list.Remove("a");
  fixture.list.Set(InEra("a", 4, 7));
  fixture.Advance(5'000);
  cr_assert(fixture.list.AcceptsNewRequests("a"));
}

}  // namespace
}  // namespace meadowthread
