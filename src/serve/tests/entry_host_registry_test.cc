// The entries of entry hosts in the store, including invalid entries by other
// writers.
#include "serve/entry_host_registry.h"

#include <criterion/criterion.h>

#include <array>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/manual_scheduler.h"
#include "store/memory_store.h"
#include "store/store_revision.h"

namespace meadowthread {
namespace {

const EntryHost kSelf = {"a", "10.0.0.1", 8748, 7200, "hall", "manila"};

std::string With(std::string_view field, std::string_view to) {
  std::string text = "{";
  for (const auto& [name, value] :
       std::array<std::pair<std::string_view, std::string_view>, 3>{
           {{"address", "\"10.0.0.2\""},
            {"control_port", "8748"},
            {"loads_port", "7200"}}}) {
    const std::string_view json_value = name == field ? to : value;
    if (!json_value.empty()) {
      text.append(text.size() > 1 ? "," : "").append("\"");
      text.append(name).append("\":").append(json_value);
    }
  }
  return text + "}";
}

Test(a_host_entry, is_decoded_as_it_was_encoded) {
  cr_assert(*DecodeEntryHost("a", EncodeEntryHost(kSelf)) == kSelf);
  EntryHost odd = kSelf;
  odd.zone = "\xff";
  cr_assert(DecodeEntryHost("a", EncodeEntryHost(odd)).ok());
}

Test(a_host_entry, that_is_invalid_gives_an_error_with_the_field) {
  cr_assert(DecodeEntryHost("b", With("", "")).ok());
  for (const char* const port :
       {"", "null", "\"80\"", "80.5", "-1", "65536", "4294967376",
        "18446744073709551615", "1e300", "[]"}) {
    for (const char* const field : {"control_port", "loads_port"}) {
      const auto host = DecodeEntryHost("b", With(field, port));
      cr_assert(!host.ok() && DetailOf(host.status()).field == field, "%s = %s",
                field, port);
    }
  }
  for (const char* const address :
       {"", "null", "7", "\"\"", "\"host.example\"", "\"10.0.0.2:80\"",
        "\"10.0.0.2\\u0000\"", "[]"}) {
    const auto host = DecodeEntryHost("b", With("address", address));
    cr_assert(!host.ok() && DetailOf(host.status()).field == "address", "%s",
              address);
  }
  for (const char* const text : {"", "null", "7", "{}", "[]", "\xff", "{"}) {
    cr_assert(!DecodeEntryHost("b", text).ok(), "%s", text);
  }
}

struct Fixture {
  static constexpr std::array<std::string_view, 1> kKinds = {"hosts"};
  MemoryStore store;
  ManualClock clock{1'000'000};
  ManualScheduler scheduler{&this->clock};
  ReplicatedView view{this->clock, kKinds};
  EntryHostRegistry entries{"hosts", kSelf, this->store, this->view,
                            this->scheduler};
  std::vector<EntryHost> known;
  int refused = 0;

  Fixture() {
    this->entries.SetListener(
        [this](const std::vector<EntryHost>& hosts) { this->known = hosts; });
    this->entries.OnRead([this](const StoredObject&, const absl::Status& read) {
      this->refused += read.ok() ? 0 : 1;
    });
    this->entries.Announce();
    this->AdvanceTime(0);
  }
  void AdvanceTime(std::int64_t ms) {
    this->store.Settle();
    this->clock.Advance(ms);
    this->scheduler.RunDue();
    this->store.Settle();
    this->store.List("hosts", 0, [this](const auto& list) {
      this->view.ApplyList("hosts", 0, *list, {this->clock.WallMs(), "a"});
    });
    this->store.Settle();
  }
  void Write(std::string_view name, std::string_view value) {
    const StoredObject* const before = this->view.Find("hosts", name);
    this->store.Put("hosts", name, value,
                    before == nullptr ? 0 : before->version,
                    [](const auto&) {});
  }
};

Test(an_invalid_entry, does_not_affect_the_other_hosts) {
  Fixture fixture;
  EntryHost other = kSelf;
  other.name = "b";
  fixture.Write("b", EncodeEntryHost(other));
  fixture.Write("c", "{\"address\":7}");
  fixture.Write("d", "\xff\xfe");
  fixture.AdvanceTime(100);
  cr_assert(fixture.known.size() == 2 && fixture.refused == 2);
  fixture.AdvanceTime(100);
  cr_assert(fixture.refused == 2, "reported when it changes, not at each read");
  fixture.Write("c", With("", ""));
  fixture.AdvanceTime(100);
  cr_assert(fixture.known.size() == 3,
            "an entry that became valid adds a host");
}

Test(an_invalid_entry, in_place_of_a_hosts_own_is_overwritten) {
  Fixture fixture;
  cr_assert(fixture.known.size() == 1);
  fixture.Write("a", "7");
  fixture.AdvanceTime(100);
  cr_assert(fixture.known.empty());
  fixture.AdvanceTime(1'000);
  cr_assert(fixture.known.size() == 1 && fixture.known[0] == kSelf);
}

Test(another_hosts_entry, in_place_of_a_hosts_own_is_kept) {
  Fixture fixture;
  EntryHost other = kSelf;
  other.address = "10.0.0.9";
  fixture.Write("a", EncodeEntryHost(other));
  fixture.AdvanceTime(100);
  const int writes = fixture.store.WriteCalls();
  fixture.AdvanceTime(60'000);
  cr_assert(fixture.store.WriteCalls() == writes,
            "two hosts of the same name do not overwrite each other");
}

// Each restart wrote the entry anew for its key alone, which woke every watch.
Test(a_restarted_host, takes_over_the_key_in_its_entry_and_writes_nothing) {
  Fixture fixture;
  EntryHost before = kSelf;
  before.name = "b";
  before.forward_port = 7200;
  before.forward_key = "old";
  fixture.Write("b", EncodeEntryHost(before));
  fixture.AdvanceTime(100);
  EntryHost after = before;
  after.forward_key = "new";
  EntryHostRegistry restarted("hosts", after, fixture.store, fixture.view,
                              fixture.scheduler);
  std::string taken;
  restarted.OnKeyTaken([&taken](const std::string& key) { taken = key; });
  restarted.Announce();
  const int writes = fixture.store.WriteCalls();
  fixture.AdvanceTime(5'000);
  cr_assert(taken == "old" && fixture.store.WriteCalls() == writes);
}

Test(a_restarted_host, writes_its_entry_if_more_than_the_key_differs) {
  Fixture fixture;
  EntryHost after = kSelf;
  after.loads_port = 7'215;
  after.forward_key = "new";
  EntryHostRegistry restarted("hosts", after, fixture.store, fixture.view,
                              fixture.scheduler);
  restarted.Announce();
  for (int n = 0; n < 3; ++n) {
    fixture.AdvanceTime(1'000);
  }
  cr_assert(fixture.known.size() == 1 && fixture.known[0] == after);
}

// The view enters an era whose first list has `items`.
void EnterEra(Fixture& fixture, const std::vector<StoredObject>& items) {
  const std::int64_t revision = StoreRevision{1, 5}.Ordinal();
  fixture.view.ApplyList("hosts", 0, {revision, items},
                         {fixture.clock.WallMs(), "a"});
}

void RunTasks(Fixture& fixture) {
  for (int n = 0; n < 6; ++n) {
    fixture.store.Settle();
    fixture.clock.Advance(500);
    fixture.scheduler.RunDue();
  }
  fixture.store.Settle();
}

// The older copy of the store had no entry of the host.
Test(an_entry_that_a_copy_lacks, is_written_again) {
  Fixture fixture;
  fixture.store.Delete("hosts", "a", fixture.store.Revision(),
                       [](const auto&) {});
  fixture.store.Settle();
  const int writes = fixture.store.WriteCalls();
  EnterEra(fixture, {});
  fixture.entries.CheckAfter(500);
  RunTasks(fixture);
  cr_assert(fixture.store.WriteCalls() == writes + 1);
}

Test(an_entry_that_a_copy_has, costs_no_call) {
  Fixture fixture;
  const int calls = fixture.store.WriteCalls() + fixture.store.ReadCalls();
  EnterEra(fixture, {{"hosts", "a", StoreRevision{1, 4}.Ordinal(),
                      EncodeEntryHost(kSelf), false}});
  fixture.entries.CheckAfter(500);
  RunTasks(fixture);
  cr_assert(fixture.store.WriteCalls() + fixture.store.ReadCalls() == calls);
}

}  // namespace
}  // namespace meadowthread
