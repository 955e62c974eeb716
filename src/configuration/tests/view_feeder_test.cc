#include "configuration/view_feeder.h"

#include <criterion/criterion.h>

#include <array>

#include "base/error.h"
#include "base/manual_scheduler.h"
#include "store/memory_store.h"
#include "store/store_errors.h"
#include "store/tests/passing_store.h"

namespace meadowthread {
namespace {

constexpr std::array<std::string_view, 1> kKinds = {kTemplatesKind};

// A store whose reads can be made to go wrong.
class FaultyReads final : public PassingStore {
 public:
  FaultyReads() : PassingStore(this->memory) {}

  void List(std::string_view kind, std::int64_t since,
            const ListDone& done) override {
    ++this->lists;
    this->memory.List(kind, since, done);
  }
  void Watch(std::string_view kind, std::int64_t since, std::int64_t wait_ms,
             const ListDone& done) override {
    ++this->watches;
    if (this->swallows || (this->silences_waits && wait_ms > 0)) {
      this->swallowed.push_back(done);
    } else if (this->malformed) {
      done(StoreError(ErrorId::kStoreMalformed, "watch", kind));
    } else if (this->gone) {
      this->gone = false;
      done(StoreError(ErrorId::kStoreRevisionGone, "watch", kind));
    } else if (this->loses_events) {
      this->memory.List(kind, since, [done](const auto& answer) {
        done(ObjectList{answer->revision, {}});
      });
    } else {
      this->memory.Watch(kind, since, wait_ms, done);
    }
  }

  MemoryStore memory;
  std::vector<ListDone> swallowed;
  bool swallows = false;
  bool silences_waits = false;  ///< new calls work, those that wait go silent
  bool gone = false;
  bool malformed = false;
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
  KindFeeder feeder{kTemplatesKind,
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
  f.feeder.Start();
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
  f.feeder.Start();
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

// Named for the finding on grown lukot, trouble-2: a configuration of 200 KB
// was too long for the exchange, and hosts that do not watch kept the one
// before it.
Test(a_host_that_need_not_watch, reads_at_once_where_it_is_told_to) {
  Fixture f;
  f.Write("x", 0);
  f.feeder.Start();
  f.Run(50);
  f.is_watcher = false;
  // a view confirmed a moment ago gives no ground to read
  f.Run(1'500);
  f.Write("x", 1);
  f.Run(1'500);
  cr_assert(f.VersionOf("x") == 1);
  f.feeder.Hurry();
  f.Run(1'500);
  cr_assert(f.VersionOf("x") == 2);
  // and once only
  f.Write("x", 2);
  f.Run(1'500);
  cr_assert(f.VersionOf("x") == 2);
}

Test(a_watching_host, lists_anew_where_its_revision_is_gone) {
  Fixture f;
  f.feeder.Start();
  f.Run(500);
  const int lists = f.store.lists;
  f.store.gone = true;
  f.Run(2000);
  cr_assert(f.store.lists == lists + 1);
}

Test(a_watching_host, lists_where_what_it_watches_cannot_be_read) {
  Fixture f;
  f.Write("x", 0);
  f.feeder.Start();
  f.Run(500);
  f.store.malformed = true;
  f.Write("x", 1);
  f.Run(5'000);
  cr_assert(f.VersionOf("x") == 2, "one answer does not stop it for good");
  cr_assert(f.store.lists < 10);
}

Test(a_watching_host, backs_off_in_an_outage_and_says_that_it_stalls) {
  Fixture f;
  f.Write("x", 0);
  f.store.memory.SetDown(true);
  f.feeder.Start();
  f.Run(60'000);
  cr_assert(f.feeder.State().stalled && f.feeder.State().failures > 5);
  cr_assert(f.store.lists < 20);
  f.store.memory.SetDown(false);
  f.Run(16'000);
  cr_assert(f.VersionOf("x") == 1);
  cr_assert(!f.feeder.State().stalled && f.feeder.State().failures == 0);
}

Test(a_watching_host, gives_up_a_call_that_is_never_answered) {
  Fixture f;
  f.feeder.Start();
  f.Run(50);
  f.store.swallows = true;
  f.Run(16'000);
  cr_assert(f.feeder.State().stalled);
  f.store.swallows = false;
  f.Write("x", 0);
  f.Run(16'000);
  cr_assert(f.VersionOf("x") == 1 && !f.feeder.State().stalled);
  {  // when the old call's answer comes after all
    const StoredObject item = {"templates", "z", 9, "late", false};
    f.store.swallowed.front()(ObjectList{9, {item}});
    cr_assert(f.VersionOf("z") == 9);
    cr_assert(f.view.Digest("templates").revision == 1);
  }
}

// The pattern: a connection falls silent, and the store is as before.
Test(a_watching_host, asks_by_another_connection_when_a_watch_is_overdue) {
  Fixture f;
  f.feeder.Start();
  f.store.silences_waits = true;
  f.Run(500);
  f.Write("x", 0);
  f.Run(10'000);
  cr_assert(f.VersionOf("x") == 0, "its watch may still be answered");
  f.Run(1'000);
  cr_assert(f.VersionOf("x") == 1 && !f.feeder.State().stalled);
}

// The pattern: the store is back while a host backs off, and nothing changes.
Test(a_watching_host, learns_of_the_return_without_waiting_for_news) {
  Fixture f;
  f.feeder.Start();
  f.Run(50);
  f.store.memory.SetDown(true);
  f.Run(30'000);
  cr_assert(f.feeder.State().stalled);
  f.store.memory.SetDown(false);
  f.Run(15'000);
  cr_assert(!f.feeder.State().stalled, "within one backoff of ten seconds");
}

Test(a_watching_host, is_told_of_stale_reads_and_keeps_what_it_knows) {
  Fixture f;
  f.Write("x", 0);
  f.view.ApplyList("templates", 0, {9, {{"templates", "x", 8, "new", false}}},
                   {1, "b"});
  f.feeder.Start();
  f.Run(1000);
  cr_assert(f.feeder.State().stale_reads > 0 && f.feeder.State().stalled);
  cr_assert(f.VersionOf("x") == 8 && f.Confirmed().by == "b");
}

Test(a_host_that_need_not_watch, reads_only_when_nobody_else_does) {
  Fixture f;
  f.is_watcher = false;
  f.Write("x", 0);
  f.view.ApplyList("templates", 0, {0, {}}, {f.clock.WallMs(), "b"});
  f.feeder.Start();
  f.Run(20'000);
  cr_assert(f.store.lists + f.store.watches == 0);
  cr_assert(!f.feeder.State().watching);
  f.Run(15'000);
  cr_assert(f.store.lists + f.store.watches > 0);
  cr_assert(f.VersionOf("x") == 1 && f.Confirmed().by == "a");
}

Test(a_feeder_that_is_gone, is_not_called_any_more) {
  Fixture f;
  {
    KindFeeder feeder(kTemplatesKind, f.store, f.view, f.scheduler, f.clock,
                      {.host = "a"}, [] { return true; });
    feeder.Start();
  }
  f.Run(30'000);
  cr_assert(f.store.lists == 1 && f.view.Digest("templates").revision == 0);
}

}  // namespace
}  // namespace meadowthread
