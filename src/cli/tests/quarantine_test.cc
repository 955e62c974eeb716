// Tests the commands with which operators list, keep and lift quarantines of
// requests that crash servers.
#include <criterion/criterion.h>

#include "cli/quarantine_commands.h"
#include "cli/tests/fake_platform.h"
#include "quarantine/crash_messages.h"

namespace meadowthread {
namespace {

using Maker = std::unique_ptr<Command> (*)(PlatformConnector&, const Clock&);

constexpr char kContent[] = "0123456789abcdef0123456789abcdef";
constexpr std::int64_t kNow = 1'790'000'000'000;

struct QuarantineFixture {
  QuarantineFixture() {
    this->record.id = {"makati", kContent};
    this->record.route = "report";
    this->record.request = "r-7";
    this->record.crashes = {{"s-1", true, kNow - 3'000},
                            {"s-2", true, kNow - 2'000},
                            {"s-3", true, kNow - 1'000}};
    this->state.Put(kQuarantineKind, kContent, EncodeCrashRecord(this->record));
  }

  RunRecord Run(Maker make, std::vector<std::string> arguments) {
    FakeConnector connector(this->state);
    arguments.insert(arguments.end(), {"--object-api", "http://h"});
    return RunCommand(*make(connector, this->clock), arguments);
  }

  CrashRecord Stored() {
    CrashRecord stored;
    this->state.store.Get(
        kQuarantineKind, kContent,
        [&stored](const absl::StatusOr<StoredObject>& object) {
          stored = *DecodeCrashRecord(object->name, object->value);
        });
    this->state.store.Settle();
    return stored;
  }

  FakePlatformState state;
  ManualClock clock{kNow};
  CrashRecord record;
};

Test(a_quarantine, is_listed_with_its_evidence) {
  QuarantineFixture fixture;
  fixture.state.Put(kQuarantineKind, "torn", "{");
  const RunRecord run =
      fixture.Run(MakeQuarantineListCommand, {"--output", "json"});
  const auto contents = nlohmann::json::parse(run.out)["contents"];
  cr_assert(contents.size() == 2);
  cr_assert(contents[0]["state"] == "quarantined");
  cr_assert(contents[0]["ends"][2]["server"] == "s-3");
  cr_assert(contents[0]["until_unix_ms"] == kNow - 1'000 + 600'000);
  cr_assert(contents[1]["unreadable"] == true);
  const RunRecord text = fixture.Run(MakeQuarantineListCommand, {});
  cr_assert(Contains(text.out, "s-1,s-2,s-3"));
}

Test(a_quarantine, is_lifted_and_kept_by_an_operator) {
  QuarantineFixture fixture;
  cr_assert(fixture.Run(MakeQuarantineLiftCommand, {kContent}).code ==
            ExitCode::kOk);
  cr_assert_not(Judge(fixture.Stored(), kNow).in_quarantine);
  fixture.clock.Advance(1'000);
  cr_assert(fixture.Run(MakeQuarantineKeepCommand, {kContent}).code ==
            ExitCode::kOk);
  cr_assert(Judge(fixture.Stored(), kNow + 90'000'000).in_quarantine);
}

// A host that saw one more crash updates the same object concurrently.
Test(a_quarantine, is_lifted_despite_a_concurrent_write_by_a_host) {
  QuarantineFixture fixture;
  bool wrote = false;
  fixture.state.before_first_task = [&fixture, &wrote] {
    CrashRecord more = fixture.record;
    more.crashes.push_back({"s-4", true, kNow - 500});
    fixture.state.store.Put(kQuarantineKind, kContent, EncodeCrashRecord(more),
                            1, [&wrote](const auto& put) { wrote = put.ok(); });
    fixture.state.store.Settle();
  };
  cr_assert(fixture.Run(MakeQuarantineLiftCommand, {kContent}).code ==
            ExitCode::kOk);
  cr_assert_not(Judge(fixture.Stored(), kNow).in_quarantine);
}

Test(a_quarantine, command_fails_for_an_unknown_content_or_a_store_outage) {
  QuarantineFixture fixture;
  cr_assert(fixture.Run(MakeQuarantineLiftCommand, {"short"}).code ==
            ExitCode::kUsage);
  cr_assert(
      fixture
          .Run(MakeQuarantineLiftCommand, {"ffffffffffffffffffffffffffffffff"})
          .code == ExitCode::kNotFound);
  fixture.state.store.SetDown(true);
  cr_assert(fixture.Run(MakeQuarantineListCommand, {}).code ==
            ExitCode::kUnavailable);
}

}  // namespace
}  // namespace meadowthread
