#include <criterion/criterion.h>

#include "cli/status_command.h"
#include "cli/tests/fake_platform.h"

namespace meadowthread {
namespace {

const std::vector<std::string> kArgumentsOfStatus = {"--object-api",
                                                     "http://h"};
const std::vector<std::string> kArgumentsAsJson = {"--object-api", "http://h",
                                                   "--output", "json"};

RunRecord Status(FakeWorld& world, const std::vector<std::string>& arguments) {
  FakeConnector connector(world);
  const auto command = MakeStatusCommand(connector, world.clock);
  return RunCommand(*command, arguments);
}

FakeWorld& TwoHosts(FakeWorld& world) {
  world.hosts->hosts = {EntryHost("entry-2"), EntryHost("entry-1")};
  world.replies = {
      {"entry-1",
       std::string(R"({"incarnation":"a7","ready":false,"mark":"stopping",)"
                   R"("configuration_revision":41,"confirmed_unix_ms":999800,)"
                   R"("streams":3,"stop_waits_for":["r-1","r-2"]})")},
      {"entry-2", NoAnswer()}};
  return world;
}

Test(the_status, shows_each_host_and_what_its_stop_waits_for) {
  FakeWorld world;
  const RunRecord run = Status(TwoHosts(world), kArgumentsOfStatus);
  cr_assert(run.code == ExitCode::kOk);
  cr_assert(Contains(run.out, "entry-1  makati-hall  live    stopping  no"));
  cr_assert(Contains(run.out, "200 ms"));
  cr_assert(Contains(run.out, "r-1,r-2"));
}

Test(the_status, shows_an_unreachable_host_from_its_status_object) {
  FakeWorld world;
  TwoHosts(world).Put("status", "entry-2", R"({"ready":true,"streams":7})");
  const RunRecord run = Status(world, kArgumentsAsJson);
  const auto hosts = nlohmann::json::parse(run.out)["hosts"];
  cr_assert(hosts[1]["host"] == "entry-2");
  cr_assert(hosts[1]["trouble"] == "unreachable: refused");
  cr_assert(hosts[1]["source"] == "status_object");
  cr_assert(hosts[1]["streams"] == 7);
}

Test(the_status, shows_a_host_missing_from_the_host_list) {
  FakeWorld world;
  world.Put("status", "entry-9", "{}");
  world.Put("status", "entry-8", "not json");
  const auto hosts =
      nlohmann::json::parse(Status(world, kArgumentsAsJson).out)["hosts"];
  cr_assert(hosts[0]["source"] == "none");
  cr_assert(hosts[1]["listed"] == "not_listed");
}

Test(the_status, shows_partial_results_when_a_source_is_down) {
  FakeWorld world;
  TwoHosts(world).store.SetDown(true);
  const RunRecord half = Status(world, kArgumentsOfStatus);
  cr_assert(half.code == ExitCode::kOk);
  cr_assert(Contains(half.out, "note: the status objects could not be read"));
  world.hosts = NoAnswer();
  world.replies.clear();
  cr_assert(Status(world, kArgumentsOfStatus).code == ExitCode::kUnavailable);
}

}  // namespace
}  // namespace meadowthread
