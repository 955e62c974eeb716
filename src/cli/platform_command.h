#ifndef MEADOWTHREAD_CLI_PLATFORM_COMMAND_H_
#define MEADOWTHREAD_CLI_PLATFORM_COMMAND_H_

#include <tclap/CmdLine.h>

#include <memory>
#include <optional>
#include <utility>

#include "cli/command.h"
#include "cli/command_result.h"
#include "cli/platform.h"
#include "settings/settings.h"

namespace meadowthread {

/// @brief The context of one run of a platform command.
struct RunContext {
  Platform& platform;
  Console& console;
  /// The deployments named in the `--settings` file; empty without one.
  const std::optional<DeploymentSettings>& deployment;
};

/// @brief One run of a platform command: its arguments and its action.
class Invocation {
 public:
  virtual ~Invocation() = default;

  /// @brief Runs the command with the parsed arguments.
  virtual CommandResult Run(const RunContext& context) = 0;
};

/// @brief Base of commands that contact the platform: determines its address,
/// connects, and prints the result in the selected format.
class PlatformCommand : public Command {
 public:
  /// @param[in] connector outlives the command
  PlatformCommand(PlatformConnector& connector, CommandHelp help)
      : connector(connector), help(std::move(help)) {}

  const CommandHelp& Help() const final { return this->help; }

  ExitCode Run(std::span<const std::string> arguments, Console& console) final;

 protected:
  /// @brief Creates an invocation and registers its arguments on `line`.
  virtual std::unique_ptr<Invocation> Prepare(TCLAP::CmdLine& line) = 0;

 private:
  PlatformConnector& connector;
  CommandHelp help;
};

/// @brief The result for invalid arguments, with exit code kUsage.
CommandResult UsageResult(std::string_view what);
CommandResult UsageResult(const absl::Status& status);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_PLATFORM_COMMAND_H_
