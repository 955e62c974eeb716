// Detecting outages of the store from its answers to this host and others.
#include "relay/store_outage_tracker.h"

#include <criterion/criterion.h>

#include "base/manual_scheduler.h"
#include "relay/backend_list.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kWatchMs = 1'500;

struct OutageFixture {
  ManualClock clock{1'000'000};
  ManualScheduler scheduler{&this->clock};
  StoreOutageTracker absence;
  BackendList list{this->clock, this->scheduler, this->absence};

  OutageFixture() {
    for (const std::string id : {"a", "b"}) {
      this->List(id);
    }
    this->Answer();
  }
  void List(const std::string& id) {
    BackendEntry entry;
    entry.id = id;
    entry.service = "app";
    this->list.Set(entry);
  }
  std::int64_t Now() const { return this->clock.MonotonicMs(); }
  void Answer() { this->absence.RecordAnswer(this->Now()); }
  /// @brief Another host reports answers in an interval that began and ended
  /// this long ago.
  void PeerUptime(std::int64_t from_ago_ms, std::int64_t to_ago_ms = 0) {
    this->absence.RecordPeerUptime(
        {this->Now() - from_ago_ms, this->Now() - to_ago_ms});
    this->list.ReviewGracePeriods();
  }
  void Advance(std::int64_t ms) {
    this->clock.Advance(ms);
    this->scheduler.RunDue();
  }
  std::size_t Usable() const { return this->list.Usable("app").size(); }
};

// Scenario: nothing in the store changes, and each watch returns only at its
// timeout.
Test(a_store_without_changes, is_never_taken_for_an_outage) {
  OutageFixture fixture;
  for (int watch = 0; watch < 20; ++watch) {
    fixture.Advance(kWatchMs + 20);
    fixture.Answer();
  }
  cr_assert(fixture.Now() - fixture.absence.Own()->from_ms ==
            20 * (kWatchMs + 20));
  cr_assert(!fixture.list.Remove("a") && fixture.Usable() == 1, "it has left");
}

// Scenario: entries expire during an outage, and live servers are listed again
// within two seconds.
Test(a_store_after_an_outage, keeps_live_servers_in_use) {
  OutageFixture fixture;
  fixture.Advance(6'000);
  fixture.Answer();
  cr_assert(fixture.list.Remove("a") && fixture.list.Remove("b"));
  fixture.Advance(1'900);
  cr_assert(fixture.Usable() == 2);
  fixture.List("b");
  fixture.Advance(400);
  cr_assert(fixture.Usable() == 1, "one was not listed again");
}

// Guards against keeping servers that left. The first answer that this host's
// own watch gets after the outage is the removal itself, three seconds after
// the end of the outage. The grace period has to start when the first of the
// other hosts was answered.
Test(a_store_after_an_outage, is_back_from_the_first_answer_to_any_host) {
  OutageFixture fixture;
  fixture.Advance(9'000);
  fixture.Answer();
  cr_assert(fixture.list.Remove("a"), "as far as this host knows");
  fixture.PeerUptime(1'800);
  cr_assert(fixture.Usable() == 2);
  fixture.PeerUptime(2'700);
  cr_assert(fixture.Usable() == 1, "live servers were listed again before");
  fixture.PeerUptime(1'800);
  fixture.Advance(100);
  cr_assert(!fixture.list.Remove("b"), "the longest reported uptime counts");
}

// Scenario: the connections of one host are reset or cut, while other hosts can
// read the store.
Test(a_store_that_others_read, had_no_outage_for_an_unconnected_host) {
  OutageFixture fixture;
  fixture.Advance(10'000);
  fixture.Answer();
  cr_assert(fixture.list.Remove("a"));
  fixture.PeerUptime(60'000);
  cr_assert(fixture.Usable() == 1, "no entry expired, so it has left");
}

// Scenario: most hosts don't read the store and learn of its changes from other
// hosts.
Test(a_host_that_does_not_read, relies_on_the_reports_of_others) {
  OutageFixture fixture;
  fixture.Advance(60'000);
  cr_assert(fixture.list.Remove("a"));
  fixture.PeerUptime(60'000);
  cr_assert(fixture.Usable() == 1);
  fixture.Advance(60'000);
  cr_assert(fixture.list.Remove("b"),
            "an old report does not cover the time since");
  fixture.PeerUptime(300);
  fixture.Advance(1'850);
  cr_assert(fixture.Usable() == 1);
  fixture.Advance(100);
  cr_assert(fixture.Usable() == 0);
}

// Scenario: the store refuses the hosts that watch it, and the hosts that begin
// to watch it instead have had no recent answer of their own.
Test(a_host_that_begins_to_read, continues_the_uptime_seen_by_others) {
  OutageFixture fixture;
  fixture.Advance(60'000);
  fixture.Answer();
  cr_assert(fixture.list.Remove("a"), "as far as this host knows");
  fixture.PeerUptime(60'000, 400);
  cr_assert(fixture.Usable() == 1, "no outage in between, so it has left");
}

Test(a_host_that_begins_to_read, does_not_join_uptimes_across_an_outage) {
  OutageFixture fixture;
  fixture.Advance(60'000);
  fixture.Answer();
  cr_assert(fixture.list.Remove("a"));
  fixture.PeerUptime(60'000, StoreOutageTracker::kOutageMs);
  cr_assert(fixture.Usable() == 2);
  fixture.Advance(StoreOutageTracker::kReregistrationMs);
  cr_assert(fixture.Usable() == 1);
}

// If no host reports about the store, a removed server still gets requests for
// a limited time only.
Test(a_host_that_does_not_read, keeps_a_missing_entry_for_a_limited_time) {
  OutageFixture fixture;
  fixture.Advance(60'000);
  cr_assert(fixture.list.Remove("a"));
  fixture.Advance(StoreOutageTracker::kUnconfirmedGraceMs);
  cr_assert(fixture.Usable() == 1);
}

// Servers that have left must not count as live longer because of a second
// outage.
Test(repeated_outages, do_not_extend_the_grace_period) {
  OutageFixture fixture;
  fixture.Advance(6'000);
  fixture.Answer();
  fixture.list.Remove("a");
  fixture.Advance(StoreOutageTracker::kOutageMs);
  fixture.Answer();
  fixture.Advance(StoreOutageTracker::kReregistrationMs -
                  StoreOutageTracker::kOutageMs);
  cr_assert(fixture.Usable() == 1);
}

// The copy holds heartbeats that are some seconds old, so that entries of
// living servers expire once the store is back.
Test(an_entry_that_vanishes_after_a_restore, may_have_expired) {
  OutageFixture fixture;
  fixture.Advance(1'000);
  fixture.Answer();
  fixture.absence.RecordRestore(fixture.Now());
  fixture.Advance(300);
  fixture.Answer();
  cr_assert(fixture.list.Remove("a"));
  fixture.Advance(1'800);
  fixture.Answer();
  cr_assert(fixture.Usable() == 2);
  fixture.Advance(200);
  cr_assert(fixture.Usable() == 1);
}

}  // namespace
}  // namespace meadowthread
