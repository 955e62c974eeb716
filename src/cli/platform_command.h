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

/// @brief What one run of a platform command is given.
struct RunContext {
  Platform& platform;
  Console& console;
  /// The halves that `--settings` tells of; nothing without such a file.
  const std::optional<DeploymentSettings>& half;
};

/// @brief The arguments of one run, and the run itself.
class Invocation {
 public:
  virtual ~Invocation() = default;

  /// @brief Runs with the arguments that were parsed.
  virtual CommandResult Run(const RunContext& context) = 0;
};

/// @brief A command that speaks to the platform: it finds it, connects, and
/// writes the result as asked for.
class PlatformCommand : public Command {
 public:
  /// @param[in] connector outlives the command
  PlatformCommand(PlatformConnector& connector, CommandHelp help)
      : connector(connector), help(std::move(help)) {}

  const CommandHelp& Help() const final { return this->help; }

  ExitCode Run(std::span<const std::string> arguments, Console& console) final;

 protected:
  /// @brief Makes an invocation whose arguments are added to `line`.
  virtual std::unique_ptr<Invocation> Prepare(TCLAP::CmdLine& line) = 0;

 private:
  PlatformConnector& connector;
  CommandHelp help;
};

/// @brief The result of arguments that contradict each other.
CommandResult UsageResult(std::string_view what);
CommandResult UsageResult(const absl::Status& status);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_PLATFORM_COMMAND_H_
