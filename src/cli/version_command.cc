#include "cli/version_command.h"

#include "cli/command_arguments.h"
#include "cli/command_result.h"

namespace meadowthread {
namespace {

constexpr const char* kVersion = MEADOWTHREAD_VERSION;

class VersionCommand final : public Command {
 public:
  const CommandHelp& Help() const override { return this->help; }

  ExitCode Run(std::span<const std::string> arguments,
               Console& console) override {
    CommandArguments parser(this->help, console);
    OutputOption output(parser.Line());
    const std::optional<ExitCode> exit_code = parser.Parse(arguments);
    if (exit_code.has_value()) {
      return *exit_code;
    }
    CommandResult result;
    result.text = std::string("meadowthread ") + kVersion + "\n";
    result.json["version"] = kVersion;
    return output.Print(result, console);
  }

 private:
  CommandHelp help = {"version",
                      "prints the program's version",
                      "Prints the version of this build.",
                      {"meadowthread version --output json"}};
};

}  // namespace

std::unique_ptr<Command> MakeVersionCommand() {
  return std::make_unique<VersionCommand>();
}

}  // namespace meadowthread
