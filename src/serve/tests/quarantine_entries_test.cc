// Records of the quarantine in the store: they outlast every host.
#include "serve/quarantine_entries.h"

#include <criterion/criterion.h>

#include <array>
#include <memory>
#include <string>

#include "base/manual_scheduler.h"
#include "quarantine/crash_messages.h"
#include "quarantine/tests/fake_listen_check.h"
#include "store/memory_store.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kStart = 1'790'000'000'000;
constexpr char kContent[] = "0123456789abcdef0123456789abcdef";
const CrashRecordId kId = {"makati", kContent};

/// @brief What all hosts share.
struct World {
  ManualClock clock{kStart};
  ManualScheduler scheduler{&this->clock};
  MemoryStore store;

  void Pass(std::int64_t ms) {
    for (std::int64_t passed = 0; passed < ms; passed += 50) {
      this->clock.Advance(50);
      this->scheduler.RunDue();
      this->store.Settle();
    }
  }
};

struct Host {
  static constexpr std::array<std::string_view, 1> kKinds = {kQuarantineKind};

  Host(World& world, StoredRecords which, std::uint64_t seed)
      : world(world),
        view(world.clock, kKinds),
        quarantine(this->check, world.clock, world.scheduler),
        entries(kQuarantineKind, which, this->quarantine, world.store,
                this->view, world.clock, world.scheduler, seed) {
    this->entries.Start();
  }

  /// @brief This host sees a server end under the content.
  void End(const std::string& server) {
    InterruptedRun run;
    run.id = kId;
    run.request = "r";
    run.server = server;
    run.before_any_answer = true;
    this->quarantine.NoteCut(run);
    this->check.Answer(ListenState::kRefused);
  }

  /// @brief Reads all that lies in the store, as its feeder does.
  void Read() {
    this->world.store.List(kQuarantineKind, 0,
                           [this](const absl::StatusOr<ObjectList>& list) {
                             this->view.ApplyItems(list->items);
                           });
    this->world.store.Settle();
  }

  bool IsQuarantined() const {
    return this->quarantine.RemainingQuarantineMs(kId).has_value();
  }

  World& world;
  testing::FakeListenCheck check;
  ReplicatedView view;
  Quarantine quarantine;
  QuarantineEntries entries;
};

int Objects(World& world) {
  int count = 0;
  world.store.List(kQuarantineKind, 0,
                   [&count](const absl::StatusOr<ObjectList>& list) {
                     count = static_cast<int>(list->items.size());
                   });
  world.store.Settle();
  return count;
}

Test(a_quarantine, outlasts_every_host) {
  World world;
  {
    Host host(world, StoredRecords::kQuarantined, 1);
    for (const char* const server : {"s-1", "s-2", "s-3"}) {
      host.End(server);
    }
    world.Pass(2'000);
  }
  Host next(world, StoredRecords::kQuarantined, 2);
  cr_assert_not(next.IsQuarantined());
  next.Read();
  cr_assert(next.IsQuarantined());
}

Test(a_quarantine, is_written_when_the_store_is_back) {
  World world;
  Host host(world, StoredRecords::kQuarantined, 1);
  world.store.SetDown(true);
  for (const char* const server : {"s-1", "s-2", "s-3"}) {
    host.End(server);
  }
  world.Pass(20'000);
  world.store.SetDown(false);
  world.Pass(5'000);
  cr_assert(Objects(world) == 1);
}

// Each end of a server would cost a write for every run that was there.
Test(suspects, are_written_only_where_nothing_else_tells_other_hosts) {
  World world;
  Host talking(world, StoredRecords::kQuarantined, 1);
  talking.End("s-1");
  world.Pass(2'000);
  cr_assert(Objects(world) == 0);
  Host silent(world, StoredRecords::kSuspects, 2);
  silent.End("s-1");
  world.Pass(2'000);
  cr_assert(Objects(world) == 1);
}

Test(hosts_that_saw_an_end_each, come_to_know_all_of_them) {
  World world;
  Host one(world, StoredRecords::kSuspects, 1);
  Host two(world, StoredRecords::kSuspects, 2);
  Host three(world, StoredRecords::kSuspects, 3);
  one.End("s-1");
  two.End("s-2");
  three.End("s-3");
  world.Pass(6'000);
  for (Host* const host : {&one, &two, &three}) {
    host->Read();
    cr_assert(host->IsQuarantined());
  }
}

Test(an_operators_word, is_taken_by_every_host) {
  World world;
  Host host(world, StoredRecords::kQuarantined, 1);
  for (const char* const server : {"s-1", "s-2", "s-3"}) {
    host.End(server);
  }
  world.Pass(2'000);
  const StoredObject lies = *host.view.Find(kQuarantineKind, kContent);
  CrashRecord lifted = *DecodeCrashRecord(lies.name, lies.value);
  lifted.cleared_ms = world.clock.WallMs();
  world.store.Put(kQuarantineKind, kContent, EncodeCrashRecord(lifted),
                  lies.version, [](const auto&) {});
  world.store.Settle();
  host.Read();
  cr_assert_not(host.IsQuarantined());
  world.Pass(120'000);
  host.Read();
  cr_assert_not(host.IsQuarantined(), "it stays");
}

Test(what_is_no_record, is_passed_over_and_left_where_it_lies) {
  World world;
  Host host(world, StoredRecords::kQuarantined, 1);
  world.store.Put(kQuarantineKind, kContent, "{\"x\":1}", 0,
                  [](const auto&) {});
  world.store.Settle();
  host.Read();
  cr_assert_not(host.IsQuarantined());
  world.Pass(120'000);
  cr_assert(Objects(world) == 1);
}

Test(records_that_nothing_depends_on, are_removed) {
  World world;
  Host host(world, StoredRecords::kSuspects, 1);
  host.End("s-1");
  world.Pass(2'000);
  cr_assert(Objects(world) == 1);
  world.clock.Advance(700'000);
  world.Pass(120'000);
  cr_assert(Objects(world) == 0);
}

}  // namespace
}  // namespace meadowthread
