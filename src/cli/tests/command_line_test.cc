#include <criterion/criterion.h>

#include "cli/command_registry.h"
#include "cli/explain_command.h"
#include "cli/ownership_commands.h"
#include "cli/status_command.h"
#include "cli/tests/fake_platform.h"
#include "cli/version_command.h"

namespace meadowthread {
namespace {

/// Wraps the registry in a command, so that RunCommand can run it.
class Program final : public Command {
 public:
  Program() {
    this->registry.Add(MakeStatusCommand(this->connector, this->state.clock));
    this->registry.Add(MakeOwnershipShowCommand(this->connector));
    this->registry.Add(MakeExplainCommand());
    this->registry.Add(MakeVersionCommand());
  }
  const CommandHelp& Help() const override { return this->help; }
  ExitCode Run(std::span<const std::string> words, Console& console) override {
    return this->registry.Run(words, console);
  }

 private:
  CommandHelp help;
  FakePlatformState state;
  FakeConnector connector{this->state};
  CommandRegistry registry;
};

RunRecord RunProgram(const std::vector<std::string>& words) {
  Program program;
  return RunCommand(program, words);
}

Test(a_command_line, without_a_command_lists_all_commands) {
  const RunRecord run = RunProgram({});
  cr_assert(run.code == ExitCode::kUsage);
  cr_assert(Contains(run.err, "ownership show"));
  cr_assert(RunProgram({"--help"}).code == ExitCode::kOk);
  cr_assert(Contains(RunProgram({"--help"}).out, "explain"));
}

Test(a_command_line, with_a_misspelt_command_names_the_nearest) {
  const RunRecord run = RunProgram({"explian", "r-1"});
  cr_assert(run.code == ExitCode::kUsage);
  cr_assert(
      Contains(run.err, "no command 'explian'; the nearest is 'explain'"));
}

Test(a_command_line, with_only_the_first_word_of_a_command_lists_its_group) {
  const RunRecord run = RunProgram({"ownership"});
  cr_assert(run.code == ExitCode::kUsage);
  cr_assert(Contains(run.err, "ownership show"));
  cr_assert(!Contains(run.err, "explain "));
}

Test(a_command_line, with_wrong_arguments_is_a_usage_error) {
  for (const std::vector<std::string>& words :
       std::vector<std::vector<std::string>>{
           {"explain"},
           {"explain", "r-1", "--nonsense"},
           {"version", "--output", "xml"},
           {"status", "--object-api", "u", "--timeout-ms", "soon"}}) {
    const RunRecord run = RunProgram(words);
    cr_assert(run.code == ExitCode::kUsage);
    cr_assert(run.out.empty());
    cr_assert(Contains(run.err, "--help"));
  }
}

Test(a_command_line, without_the_object_api_is_a_usage_error) {
  unsetenv("MEADOWTHREAD_OBJECT_API");
  const RunRecord run = RunProgram({"status"});
  cr_assert(run.code == ExitCode::kUsage);
  cr_assert(Contains(run.err, "--object-api URL"));
  setenv("MEADOWTHREAD_OBJECT_API", "http://127.0.0.1:1", 1);
  cr_assert(RunProgram({"status"}).code == ExitCode::kOk);
}

Test(the_help_of_a_command, lists_arguments_examples_and_exit_codes) {
  const RunRecord run = RunProgram({"explain", "--help"});
  cr_assert(run.code == ExitCode::kOk);
  cr_assert(Contains(run.out, "--log <FILE>"));
  cr_assert(Contains(run.out, "  meadowthread explain "));
  cr_assert(Contains(run.out, "4  conflict "));
}

Test(the_version, is_printed_as_json) {
  const RunRecord run = RunProgram({"version", "--output", "json"});
  const auto json = nlohmann::json::parse(run.out);
  cr_assert(json["result"] == "ok");
  cr_assert(json["exit_code"] == 0);
  cr_assert(json["version"].is_string());
}

}  // namespace
}  // namespace meadowthread
