#include "main/relay_command.h"

#include <cstdlib>

#include "cli/command_arguments.h"
#include "platform/platform.h"
#include "serve/relay_host.h"
#include "settings/relay_settings.h"

namespace meadowthread {
namespace {

constexpr char kSettingsVariable[] = "MEADOWTHREAD_SETTINGS";

std::string DefaultFile() {
  const char* const named = std::getenv(kSettingsVariable);
  return named == nullptr ? "" : named;
}

class RelayCommand final : public Command {
 public:
  const CommandHelp& Help() const override { return this->help; }

  ExitCode Run(std::span<const std::string> arguments,
               Console& console) override {
    CommandArguments parser(this->help, console);
    TCLAP::ValueArg<std::string> file("", "settings",
                                      "the settings file of this host", false,
                                      DefaultFile(), "FILE", parser.Line());
    const std::optional<ExitCode> exit_code = parser.Parse(arguments);
    if (exit_code.has_value()) {
      return *exit_code;
    }
    const ParsedRelaySettings parsed = LoadRelaySettings(file.getValue());
    if (!parsed.IsValid()) {
      return parser.ReportError(parsed.Status());
    }
    platform::UsersPlatform platform;
    return static_cast<ExitCode>(
        RunRelay(parsed.settings, file.getValue(), platform));
  }

 private:
  CommandHelp help = {
      "relay",
      "runs an entry host on the users' platform",
      "Serves the routes of the platform's configuration: plain services and "
      "model engines.\nWithout --settings the path is taken from the "
      "environment variable\nMEADOWTHREAD_SETTINGS. SIGTERM starts a planned "
      "stop, SIGHUP reloads the settings.\nLogs go to standard output, one "
      "key=value line per decision.",
      {"meadowthread relay --settings relay.yaml"}};
};

}  // namespace

std::unique_ptr<Command> MakeRelayCommand() {
  return std::make_unique<RelayCommand>();
}

}  // namespace meadowthread
