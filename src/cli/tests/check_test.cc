#include <criterion/criterion.h>

#include "cli/check_command.h"
#include "cli/tests/fake_platform.h"

namespace meadowthread {
namespace {

RunRecord Check(const std::string& text, bool as_json = false) {
  const auto command = MakeCheckCommand();
  return RunCommand(*command, {"-", "--output", as_json ? "json" : "text"},
                    text);
}

Test(a_checked_document, recognized_as_a_template_lists_all_its_problems) {
  const RunRecord run = Check(
      "name: tags\n"
      "models:\n"
      "  - {model: tag, version: \"7\"}\n"
      "urgencyy: urgent\n"
      "workspaces:\n"
      "  - {workspace: makati, weight: -3}\n");
  cr_assert(run.code == ExitCode::kInvalid);
  cr_assert(Contains(run.err, "-:4: urgencyy"));
  cr_assert(Contains(run.err, "-:6: workspaces[0].weight"));
}

Test(a_checked_document, recognized_as_settings_lists_all_its_problems) {
  const RunRecord run = Check("host: {name: e}\nplatfrom: {}\n", true);
  const auto json = nlohmann::json::parse(run.out);
  cr_assert(json["result"] == "invalid");
  cr_assert(json["exit_code"] == 3);
  cr_assert(json["kind"] == "settings");
  cr_assert(json["problems"].size() == 8);
  cr_assert(json["problems"].back()["line"] == 2);
  cr_assert(json["problems"].back()["field"] == "platfrom");
}

Test(a_checked_document, is_recognized_as_relay_settings) {
  const RunRecord run = Check("host: {name: e}\nlisten: {}\nstore: x\n", true);
  const auto json = nlohmann::json::parse(run.out);
  cr_assert(json["kind"] == "relay settings" && json["exit_code"] == 3);
  cr_assert(json["problems"].size() == 7);
}

Test(a_checked_document, that_is_valid_prints_its_kind) {
  const RunRecord run = Check(
      "name: tags\n"
      "models: [{model: tag, version: \"7\"}]\n"
      "workspaces: [{workspace: makati}]\n");
  cr_assert(run.code == ExitCode::kOk, "%s", run.err.c_str());
  cr_assert(run.out == "-: a valid template document\n");
}

Test(a_checked_document, of_another_kind_or_not_yaml_is_an_error) {
  cr_assert(Contains(Check("colour: red\n").err, "neither settings"));
  cr_assert(Contains(Check("- 1\n").err, "neither settings"));
  cr_assert(Contains(Check("a: 1\nname: [\n").err, "is not YAML"));
}

}  // namespace
}  // namespace meadowthread
