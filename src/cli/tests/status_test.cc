#include <criterion/criterion.h>

#include "cli/status_command.h"
#include "cli/tests/fake_platform.h"

namespace meadowthread {
namespace {

const std::vector<std::string> kArgumentsOfStatus = {"--object-api",
                                                     "http://h"};
const std::vector<std::string> kArgumentsAsJson = {"--object-api", "http://h",
                                                   "--output", "json"};

RunRecord Status(FakePlatformState& state,
                 const std::vector<std::string>& arguments) {
  FakeConnector connector(state);
  const auto command = MakeStatusCommand(connector, state.clock);
  return RunCommand(*command, arguments);
}

FakePlatformState& TwoHosts(FakePlatformState& state) {
  state.hosts->hosts = {EntryHost("entry-2"), EntryHost("entry-1")};
  state.replies = {
      {"entry-1",
       std::string(R"({"incarnation":"a7","ready":false,"mark":"stopping",)"
                   R"("configuration_revision":41,"confirmed_unix_ms":999800,)"
                   R"("streams":3,"stop_waits_for":["r-1","r-2"]})")},
      {"entry-2", NoAnswer()}};
  return state;
}

Test(the_status, shows_each_host_and_what_its_stop_waits_for) {
  FakePlatformState state;
  const RunRecord run = Status(TwoHosts(state), kArgumentsOfStatus);
  cr_assert(run.code == ExitCode::kOk);
  cr_assert(Contains(run.out, "entry-1  makati-hall  live    stopping  no"));
  cr_assert(Contains(run.out, "200 ms"));
  cr_assert(Contains(run.out, "r-1,r-2"));
}

Test(the_status, shows_an_unreachable_host_from_its_status_object) {
  FakePlatformState state;
  TwoHosts(state).Put("status", "entry-2", R"({"ready":true,"streams":7})");
  const RunRecord run = Status(state, kArgumentsAsJson);
  const auto hosts = nlohmann::json::parse(run.out)["hosts"];
  cr_assert(hosts[1]["host"] == "entry-2");
  cr_assert(hosts[1]["trouble"] == "unreachable: refused");
  cr_assert(hosts[1]["source"] == "status_object");
  cr_assert(hosts[1]["streams"] == 7);
}

Test(the_status, shows_a_host_missing_from_the_host_list) {
  FakePlatformState state;
  state.Put("status", "entry-9", "{}");
  state.Put("status", "entry-8", "not json");
  const auto hosts =
      nlohmann::json::parse(Status(state, kArgumentsAsJson).out)["hosts"];
  cr_assert(hosts[0]["source"] == "none");
  cr_assert(hosts[1]["listed"] == "not_listed");
}

Test(the_status, shows_partial_results_when_a_source_is_down) {
  FakePlatformState state;
  TwoHosts(state).store.SetDown(true);
  const RunRecord partial = Status(state, kArgumentsOfStatus);
  cr_assert(partial.code == ExitCode::kOk);
  cr_assert(
      Contains(partial.out, "note: the status objects could not be read"));
  state.hosts = NoAnswer();
  state.replies.clear();
  cr_assert(Status(state, kArgumentsOfStatus).code == ExitCode::kUnavailable);
}

}  // namespace
}  // namespace meadowthread
