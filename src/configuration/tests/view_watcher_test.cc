#include "configuration/view_watcher.h"

#include <criterion/criterion.h>

#include <array>

#include "base/error.h"
#include "base/manual_scheduler.h"
#include "store/memory_store.h"
#include "store/store_errors.h"
#include "store/tests/forwarding_store.h"

namespace meadowthread {
namespace {

constexpr std::array<std::string_view, 1> kKinds = {kTemplatesKind};

// A store whose reads can be made to fail in several ways.
class FaultyReads final : public ForwardingStore {
 public:
  FaultyReads() : ForwardingStore(this->memory) {}

  void List(std::string_view kind, std::int64_t since,
            const ListDone& done) override {
    ++this->lists;
    this->memory.List(kind, since, done);
  }
  void Watch(std::string_view kind, std::int64_t since, std::int64_t wait_ms,
             const ListDone& done) override {
    ++this->watches;
    if (this->drops_watches || (this->drops_waiting_watches && wait_ms > 0)) {
      this->unanswered.push_back(done);
    } else if (this->malformed) {
      done(StoreError(ErrorId::kStoreMalformed, "watch", kind));
    } else if (this->revision_gone) {
      this->revision_gone = false;
      done(StoreError(ErrorId::kStoreRevisionGone, "watch", kind));
    } else if (this->loses_events) {
      this->memory.List(kind, since, [done](const auto& answer) {
        done(ObjectList{answer->revision, {}});
      });
    } else {
      this->memory.Watch(kind, since, wait_ms, done);
    }
  }

  bool HasHistorySince(std::int64_t /*revision*/) const override {
    return this->has_history;
  }

  MemoryStore memory;
  std::vector<ListDone> unanswered;
  bool drops_watches = false;
  bool drops_waiting_watches = false;  ///< only calls that wait get no answer
  bool revision_gone = false;
  bool malformed = false;
  bool has_history = true;
  bool loses_events = false;
  int lists = 0;
  int watches = 0;
};

struct Fixture {
  FaultyReads store;
  ManualClock clock{1'000'000};
  ManualScheduler scheduler{&this->clock};
  ReplicatedView view{this->clock, kKinds};
  bool is_watcher = true;
  KindWatcher watcher{kTemplatesKind,
                      this->store,
                      this->view,
                      this->scheduler,
                      this->clock,
                      {.host = "a", .seed = 1},
                      [this] { return this->is_watcher; }};

  void Write(std::string_view name, std::int64_t expected) {
    this->store.Put("templates", name, "x", expected, [](const auto&) {});
    this->store.memory.Settle();
  }
  void Run(std::int64_t ms) {
    for (std::int64_t i = 0; i < ms; i += 50) {
      this->store.memory.Settle();
      this->clock.Advance(50);
      this->scheduler.RunDue();
    }
    this->store.memory.Settle();
  }
  std::int64_t VersionOf(std::string_view name) const {
    const StoredObject* object = this->view.Find("templates", name);
    return object == nullptr ? 0 : object->version;
  }
  Confirmation Confirmed() const {
    return this->view.Digest("templates").confirmed;
  }
};

Test(a_watching_host, lists_once_and_then_follows_changes) {
  Fixture f;
  f.Write("x", 0);
  f.watcher.Start();
  f.Run(50);
  cr_assert(f.VersionOf("x") == 1 && f.store.lists == 1);
  f.Write("x", 1);
  f.Run(1000);
  cr_assert(f.VersionOf("x") == 2 && f.store.lists == 1);
  cr_assert(f.Confirmed().by == "a" && f.Confirmed().unix_ms >= 1'000'700);
  cr_assert(f.store.watches <= 5);
}

Test(a_watching_host, repairs_what_watches_lost) {
  Fixture f;
  f.Write("y", 0);
  f.watcher.Start();
  f.Run(50);
  f.store.loses_events = true;
  f.Write("x", 0);
  f.store.Delete("templates", "y", 1, [](const auto&) {});
  f.Run(2000);
  cr_assert(f.VersionOf("x") == 0 && f.VersionOf("y") == 1);
  f.Run(60'000);
  cr_assert(f.VersionOf("x") == 2 && f.VersionOf("y") == 0);
  cr_assert(f.view.DeltaSince("templates", 1, 1000).full == false);
}

// A configuration of 200 KB was too large for the exchange between hosts, so
// hosts that don't watch kept the previous one. Such a host must be able to
// read the store itself on request.
Test(a_non_watching_host, reads_the_store_on_request) {
  Fixture f;
  f.Write("x", 0);
  f.watcher.Start();
  f.Run(50);
  f.is_watcher = false;
  // The view was confirmed recently, so the host doesn't read.
  f.Run(1'500);
  f.Write("x", 1);
  f.Run(1'500);
  cr_assert(f.VersionOf("x") == 1);
  f.watcher.RequestRead();
  f.Run(1'500);
  cr_assert(f.VersionOf("x") == 2);
  // The request holds for one read only.
  f.Write("x", 2);
  f.Run(1'500);
  cr_assert(f.VersionOf("x") == 2);
}

Test(a_watching_host, lists_again_when_its_revision_is_gone) {
  Fixture f;
  f.watcher.Start();
  f.Run(500);
  const int lists = f.store.lists;
  f.store.revision_gone = true;
  f.Run(2000);
  cr_assert(f.store.lists == lists + 1);
}

Test(a_watching_host, lists_after_a_malformed_watch_response) {
  Fixture f;
  f.Write("x", 0);
  f.watcher.Start();
  f.Run(500);
  f.store.malformed = true;
  f.Write("x", 1);
  f.Run(5'000);
  cr_assert(f.VersionOf("x") == 2,
            "a malformed response must not stop the host for good");
  cr_assert(f.store.lists < 10);
}

Test(a_watching_host, backs_off_in_an_outage_and_reports_the_stall) {
  Fixture f;
  f.Write("x", 0);
  f.store.memory.SetDown(true);
  f.watcher.Start();
  f.Run(60'000);
  cr_assert(f.watcher.State().stalled && f.watcher.State().failures > 5);
  cr_assert(f.store.lists < 20);
  f.store.memory.SetDown(false);
  f.Run(16'000);
  cr_assert(f.VersionOf("x") == 1);
  cr_assert(!f.watcher.State().stalled && f.watcher.State().failures == 0);
}

Test(a_watching_host, times_out_a_call_that_is_never_answered) {
  Fixture f;
  f.watcher.Start();
  f.Run(50);
  f.store.drops_watches = true;
  f.Run(16'000);
  cr_assert(f.watcher.State().stalled);
  f.store.drops_watches = false;
  f.Write("x", 0);
  f.Run(16'000);
  cr_assert(f.VersionOf("x") == 1 && !f.watcher.State().stalled);
  {  // the old call is answered late
    const StoredObject item = {"templates", "z", 9, "late", false};
    f.store.unanswered.front()(ObjectList{9, {item}});
    cr_assert(f.VersionOf("z") == 9);
    cr_assert(f.view.Digest("templates").revision == 1);
  }
}

// Failure: a connection stalls while the store itself still works.
Test(a_watching_host, uses_another_connection_when_a_watch_is_overdue) {
  Fixture f;
  f.watcher.Start();
  f.store.drops_waiting_watches = true;
  f.Run(500);
  f.Write("x", 0);
  f.Run(10'000);
  cr_assert(f.VersionOf("x") == 0, "its watch may still be answered");
  f.Run(1'000);
  cr_assert(f.VersionOf("x") == 1 && !f.watcher.State().stalled);
}

// Failure: the store recovers while a host backs off, and no object changes, so
// a watch that waits for changes would not show the recovery.
Test(a_watching_host, notices_the_recovery_without_waiting_for_changes) {
  Fixture f;
  f.watcher.Start();
  f.Run(50);
  f.store.memory.SetDown(true);
  f.Run(30'000);
  cr_assert(f.watcher.State().stalled);
  f.store.memory.SetDown(false);
  f.Run(15'000);
  cr_assert(!f.watcher.State().stalled, "within one backoff of ten seconds");
}

Test(a_watching_host, counts_stale_reads_and_keeps_its_state) {
  Fixture f;
  f.Write("x", 0);
  f.view.ApplyList("templates", 0, {9, {{"templates", "x", 8, "new", false}}},
                   {1, "b"});
  f.watcher.Start();
  f.Run(1000);
  cr_assert(f.watcher.State().stale_reads > 0 && f.watcher.State().stalled);
  cr_assert(f.VersionOf("x") == 8 && f.Confirmed().by == "b");
}

Test(a_non_watching_host, reads_only_when_no_other_host_does) {
  Fixture f;
  f.is_watcher = false;
  f.Write("x", 0);
  f.view.ApplyList("templates", 0, {0, {}}, {f.clock.WallMs(), "b"});
  f.watcher.Start();
  f.Run(20'000);
  cr_assert(f.store.lists + f.store.watches == 0);
  cr_assert(!f.watcher.State().watching);
  f.Run(15'000);
  cr_assert(f.store.lists + f.store.watches > 0);
  cr_assert(f.VersionOf("x") == 1 && f.Confirmed().by == "a");
}

Test(a_destroyed_synchronizer, gets_no_more_callbacks) {
  Fixture f;
  {
    KindWatcher watcher(kTemplatesKind, f.store, f.view, f.scheduler, f.clock,
                        {.host = "a"}, [] { return true; });
    watcher.Start();
  }
  f.Run(30'000);
  cr_assert(f.store.lists == 1 && f.view.Digest("templates").revision == 0);
}

// A watch waited on a connection from before the store went away.
Test(a_watch_that_waits, is_given_up_when_a_new_era_begins) {
  Fixture fixture;
  fixture.Write("a", 0);
  fixture.watcher.Start();
  fixture.Run(1'000);
  fixture.store.drops_waiting_watches = true;
  fixture.Run(1'000);
  const int lists = fixture.store.lists;
  fixture.store.has_history = false;
  fixture.watcher.ReadAnew();
  fixture.Run(100);
  cr_assert(fixture.store.lists == lists + 1);
}

}  // namespace
}  // namespace meadowthread
