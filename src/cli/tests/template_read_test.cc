#include <criterion/criterion.h>

#include "cli/host_commands.h"
#include "cli/template_commands.h"
#include "cli/tests/fake_platform.h"
#include "configuration/template_object.h"

namespace meadowthread {
namespace {

using Maker = std::unique_ptr<Command> (*)(PlatformConnector&);

RunRecord Read(FakePlatformState& state, Maker make,
               std::vector<std::string> arguments) {
  FakeConnector connector(state);
  arguments.insert(arguments.end(), {"--object-api", "http://h"});
  return RunCommand(*make(connector), arguments);
}

/// Stores a template with two versions: 7 by ana in the history, then the
/// current one by ben.
void PutTags(FakePlatformState& state) {
  TemplateObject object;
  object.current = {"op-2", "ben", 1'764'000'000'000, "a\nB\nc\n", 0};
  object.history = {{"op-1", "ana", 1'763'000'000'000, "a\nb\nc\n", 7}};
  state.Put("templates", "tags", TemplateToJson(object));
}

Test(a_template, is_printed_as_its_author_wrote_it) {
  FakePlatformState state;
  PutTags(state);
  cr_assert(Read(state, MakeTemplateGetCommand, {"tags"}).out == "a\nB\nc\n");
  const RunRecord earlier =
      Read(state, MakeTemplateGetCommand, {"tags", "--version", "7"});
  cr_assert(earlier.out == "a\nb\nc\n");
  cr_assert(
      Read(state, MakeTemplateGetCommand, {"tags", "--version", "8"}).code ==
      ExitCode::kNotFound);
  cr_assert(Read(state, MakeTemplateGetCommand, {"notes"}).code ==
            ExitCode::kNotFound);
}

Test(a_template, is_listed_with_version_and_author) {
  FakePlatformState state;
  PutTags(state);
  state.Put("templates", "torn", "{");
  const RunRecord run =
      Read(state, MakeTemplateListCommand, {"--output", "json"});
  const auto templates = nlohmann::json::parse(run.out)["templates"];
  cr_assert(templates[0]["author"] == "ben");
  cr_assert(templates[0]["version"] == 1);
  cr_assert(templates[1]["unreadable"] == true);
}

Test(a_template, shows_its_history_and_changes) {
  FakePlatformState state;
  PutTags(state);
  const RunRecord run =
      Read(state, MakeTemplateHistoryCommand, {"tags", "--changes"});
  cr_assert(Contains(run.out, "7        ana     2025-11-13 02:13:20Z  op-1"));
  cr_assert(Contains(run.out, "version 1 changed:\n-2: b\n+2: B\n"));
}

Test(a_platform_that_is_down, is_reported_as_unavailable) {
  FakePlatformState state;
  state.store.SetDown(true);
  const RunRecord run = Read(state, MakeTemplateListCommand, {});
  cr_assert(run.code == ExitCode::kUnavailable);
  cr_assert(Contains(run.err, "step: object-api.list"));
}

Test(the_host_list, shows_the_marks_of_hosts) {
  FakePlatformState state;
  state.hosts->hosts = {EntryHost("entry-1"), EntryHost("entry-2")};
  state.Put("marks", "entry-1",
            R"({"host":"entry-1","mark":"stopping","handover":true})");
  const RunRecord run = Read(state, MakeHostListCommand, {});
  cr_assert(Contains(run.out, "live   stopping (handover)\n"));
  cr_assert(Contains(run.out, "live   -\n"));
}

}  // namespace
}  // namespace meadowthread
