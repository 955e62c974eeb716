#include "main/serve_command.h"

#include "cli/command_arguments.h"
#include "serve/serve.h"
#include "settings/settings.h"

namespace meadowthread {
namespace {

class ServeCommand final : public Command {
 public:
  const CommandHelp& Help() const override { return this->help; }

  ExitCode Run(std::span<const std::string> arguments,
               Console& console) override {
    CommandArguments parser(this->help, console);
    TCLAP::ValueArg<std::string> file("", "settings",
                                      "the settings file of this host", true,
                                      "", "FILE", parser.Line());
    const std::optional<ExitCode> exit_code = parser.Parse(arguments);
    if (exit_code.has_value()) {
      return *exit_code;
    }
    const ParsedSettings parsed = LoadSettings(file.getValue());
    if (!parsed.IsValid()) {
      return parser.ReportError(parsed.Status());
    }
    return static_cast<ExitCode>(RunServe(parsed.settings));
  }

 private:
  CommandHelp help = {
      "serve",
      "runs an entry host between callers and model engines",
      "Validates the settings, then serves until SIGTERM or SIGINT starts a "
      "planned stop:\nthe host becomes unready, accepts no new work and exits "
      "once running work has\nfinished. Logs go to standard output, one "
      "key=value line per decision.",
      {"meadowthread check entry-1.yaml && meadowthread serve --settings "
       "entry-1.yaml"}};
};

}  // namespace

std::unique_ptr<Command> MakeServeCommand() {
  return std::make_unique<ServeCommand>();
}

}  // namespace meadowthread
