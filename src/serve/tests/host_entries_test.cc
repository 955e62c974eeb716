// The entries of entry hosts in the store, among those of other writers.
#include "serve/host_entries.h"

#include <criterion/criterion.h>

#include <array>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/manual_scheduler.h"
#include "store/memory_store.h"

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
    const std::string_view told = name == field ? to : value;
    if (!told.empty()) {
      text.append(text.size() > 1 ? "," : "").append("\"");
      text.append(name).append("\":").append(told);
    }
  }
  return text + "}";
}

Test(a_hosts_entry, is_read_as_it_was_written) {
  cr_assert(*DecodeEntryHost("a", EncodeEntryHost(kSelf)) == kSelf);
  EntryHost odd = kSelf;
  odd.zone = "\xff";
  cr_assert(DecodeEntryHost("a", EncodeEntryHost(odd)).ok());
}

Test(a_hosts_entry, of_another_writer_names_no_host_and_the_field_at_fault) {
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

struct Story {
  static constexpr std::array<std::string_view, 1> kKinds = {"hosts"};
  MemoryStore store;
  ManualClock clock{1'000'000};
  ManualScheduler scheduler{&this->clock};
  ReplicatedView view{this->clock, kKinds};
  HostEntries entries{"hosts", kSelf, this->store, this->view, this->scheduler};
  std::vector<EntryHost> known;
  int refused = 0;

  Story() {
    this->entries.SetListener(
        [this](const std::vector<EntryHost>& hosts) { this->known = hosts; });
    this->entries.OnRead([this](const StoredObject&, const absl::Status& read) {
      this->refused += read.ok() ? 0 : 1;
    });
    this->entries.Announce();
    this->Pass(0);
  }
  void Pass(std::int64_t ms) {
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

Test(another_writers_entry, costs_the_other_hosts_nothing) {
  Story story;
  EntryHost other = kSelf;
  other.name = "b";
  story.Write("b", EncodeEntryHost(other));
  story.Write("c", "{\"address\":7}");
  story.Write("d", "\xff\xfe");
  story.Pass(100);
  cr_assert(story.known.size() == 2 && story.refused == 2);
  story.Pass(100);
  cr_assert(story.refused == 2, "told when it changes, not with each reading");
  story.Write("c", With("", ""));
  story.Pass(100);
  cr_assert(story.known.size() == 3, "one that becomes good names a host");
}

Test(another_writers_entry, in_place_of_a_hosts_own_is_written_over) {
  Story story;
  cr_assert(story.known.size() == 1);
  story.Write("a", "7");
  story.Pass(100);
  cr_assert(story.known.empty());
  story.Pass(1'000);
  cr_assert(story.known.size() == 1 && story.known[0] == kSelf);
}

Test(another_hosts_entry, in_place_of_a_hosts_own_stays) {
  Story story;
  EntryHost other = kSelf;
  other.address = "10.0.0.9";
  story.Write("a", EncodeEntryHost(other));
  story.Pass(100);
  const int writes = story.store.WriteCalls();
  story.Pass(60'000);
  cr_assert(story.store.WriteCalls() == writes,
            "two hosts of one name do not take turns for ever");
}

}  // namespace
}  // namespace meadowthread
