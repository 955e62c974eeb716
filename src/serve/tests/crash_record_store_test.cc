// Storage of the quarantine's crash records, from which restarted hosts restore
// them.
#include "serve/crash_record_store.h"

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

/// @brief The clock, scheduler and store that all hosts share.
struct SharedState {
  ManualClock clock{kStart};
  ManualScheduler scheduler{&this->clock};
  MemoryStore store;

  void AdvanceTime(std::int64_t ms) {
    for (std::int64_t passed = 0; passed < ms; passed += 50) {
      this->clock.Advance(50);
      this->scheduler.RunDue();
      this->store.Settle();
    }
  }
};

struct Host {
  static constexpr std::array<std::string_view, 1> kKinds = {kQuarantineKind};

  Host(SharedState& shared, StoredRecords which, std::uint64_t seed)
      : shared(shared),
        view(shared.clock, kKinds),
        quarantine(this->check, shared.clock, shared.scheduler),
        entries(kQuarantineKind, which, this->quarantine, shared.store,
                this->view, shared.clock, shared.scheduler, seed) {
    this->entries.Start();
  }

  /// @brief Lets this host see a server crash while it runs the content.
  void RecordCrash(const std::string& server) {
    InterruptedRun run;
    run.id = kId;
    run.request = "r";
    run.server = server;
    run.before_any_answer = true;
    this->quarantine.NoteInterrupted(run);
    this->check.Answer(ListenProbeResult::kRefused);
  }

  /// @brief Reads all objects of the store, as the host's feeder does.
  void ReadStore() {
    this->shared.store.List(kQuarantineKind, 0,
                            [this](const absl::StatusOr<ObjectList>& list) {
                              this->view.ApplyItems(list->items);
                            });
    this->shared.store.Settle();
  }

  bool IsQuarantined() const {
    return this->quarantine.RemainingQuarantineMs(kId).has_value();
  }

  SharedState& shared;
  testing::FakeListenCheck check;
  ReplicatedView view;
  Quarantine quarantine;
  CrashRecordStore entries;
};

int CountObjects(SharedState& shared) {
  int count = 0;
  shared.store.List(kQuarantineKind, 0,
                    [&count](const absl::StatusOr<ObjectList>& list) {
                      count = static_cast<int>(list->items.size());
                    });
  shared.store.Settle();
  return count;
}

Test(a_quarantine, survives_the_restart_of_all_hosts) {
  SharedState shared;
  {
    Host host(shared, StoredRecords::kQuarantined, 1);
    for (const char* const server : {"s-1", "s-2", "s-3"}) {
      host.RecordCrash(server);
    }
    shared.AdvanceTime(2'000);
  }
  Host next(shared, StoredRecords::kQuarantined, 2);
  cr_assert_not(next.IsQuarantined());
  next.ReadStore();
  cr_assert(next.IsQuarantined());
}

Test(a_quarantine, is_written_after_a_store_outage) {
  SharedState shared;
  Host host(shared, StoredRecords::kQuarantined, 1);
  shared.store.SetDown(true);
  for (const char* const server : {"s-1", "s-2", "s-3"}) {
    host.RecordCrash(server);
  }
  shared.AdvanceTime(20'000);
  shared.store.SetDown(false);
  shared.AdvanceTime(5'000);
  cr_assert(CountObjects(shared) == 1);
}

// If hosts with gossip wrote suspects as well, each crash of a server would
// cost a write for every run on it.
Test(suspects, are_written_only_by_hosts_without_gossip) {
  SharedState shared;
  Host talking(shared, StoredRecords::kQuarantined, 1);
  talking.RecordCrash("s-1");
  shared.AdvanceTime(2'000);
  cr_assert(CountObjects(shared) == 0);
  Host silent(shared, StoredRecords::kSuspects, 2);
  silent.RecordCrash("s-1");
  shared.AdvanceTime(2'000);
  cr_assert(CountObjects(shared) == 1);
}

Test(hosts_that_saw_one_crash_each, learn_of_all_crashes) {
  SharedState shared;
  Host one(shared, StoredRecords::kSuspects, 1);
  Host two(shared, StoredRecords::kSuspects, 2);
  Host three(shared, StoredRecords::kSuspects, 3);
  one.RecordCrash("s-1");
  two.RecordCrash("s-2");
  three.RecordCrash("s-3");
  shared.AdvanceTime(6'000);
  for (Host* const host : {&one, &two, &three}) {
    host->ReadStore();
    cr_assert(host->IsQuarantined());
  }
}

Test(a_record_cleared_by_an_operator, is_cleared_at_every_host) {
  SharedState shared;
  Host host(shared, StoredRecords::kQuarantined, 1);
  for (const char* const server : {"s-1", "s-2", "s-3"}) {
    host.RecordCrash(server);
  }
  shared.AdvanceTime(2'000);
  const StoredObject stored = *host.view.Find(kQuarantineKind, kContent);
  CrashRecord lifted = *DecodeCrashRecord(stored.name, stored.value);
  lifted.cleared_ms = shared.clock.WallMs();
  shared.store.Put(kQuarantineKind, kContent, EncodeCrashRecord(lifted),
                   stored.version, [](const auto&) {});
  shared.store.Settle();
  host.ReadStore();
  cr_assert_not(host.IsQuarantined());
  shared.AdvanceTime(120'000);
  host.ReadStore();
  cr_assert_not(host.IsQuarantined(), "it stays cleared");
}

Test(an_invalid_record, is_ignored_and_left_in_the_store) {
  SharedState shared;
  Host host(shared, StoredRecords::kQuarantined, 1);
  shared.store.Put(kQuarantineKind, kContent, "{\"x\":1}", 0,
                   [](const auto&) {});
  shared.store.Settle();
  host.ReadStore();
  cr_assert_not(host.IsQuarantined());
  shared.AdvanceTime(120'000);
  cr_assert(CountObjects(shared) == 1);
}

Test(expired_records, are_removed) {
  SharedState shared;
  Host host(shared, StoredRecords::kSuspects, 1);
  host.RecordCrash("s-1");
  shared.AdvanceTime(2'000);
  cr_assert(CountObjects(shared) == 1);
  shared.clock.Advance(700'000);
  shared.AdvanceTime(120'000);
  cr_assert(CountObjects(shared) == 0);
}

// The older copy of the store had none of the record.
Test(a_record_that_a_copy_lacks, is_written_again) {
  SharedState shared;
  Host host(shared, StoredRecords::kSuspects, 1);
  host.RecordCrash("e1");
  shared.AdvanceTime(1'000);
  const int writes = shared.store.WriteCalls();
  cr_assert(writes > 0);
  shared.store.Delete(kQuarantineKind, kContent, shared.store.Revision(),
                      [](const auto&) {});
  shared.store.Settle();
  host.ReadStore();
  const StoredObject gone = {std::string(kQuarantineKind), kContent,
                             shared.store.Revision(), "", true};
  host.view.ApplyItems({&gone, 1});
  host.entries.WriteMissing();
  shared.AdvanceTime(61'000);
  cr_assert(shared.store.WriteCalls() == writes + 2, "the deletion, and one");
}

}  // namespace
}  // namespace meadowthread
