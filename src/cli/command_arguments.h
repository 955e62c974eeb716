#ifndef MEADOWTHREAD_CLI_COMMAND_ARGUMENTS_H_
#define MEADOWTHREAD_CLI_COMMAND_ARGUMENTS_H_

#include <tclap/CmdLine.h>

#include <optional>
#include <span>
#include <string>

#include "cli/command.h"

namespace meadowthread {

namespace detail {

/// @brief Prints TCLAP's help with the command's description, examples and exit
/// codes.
class HelpOutput final : public TCLAP::CmdLineOutput {
 public:
  HelpOutput(const CommandHelp& help, Console& console)
      : help(help), console(console) {}

  void usage(TCLAP::CmdLineInterface& line) override;    // NOLINT
  void version(TCLAP::CmdLineInterface& line) override;  // NOLINT
  void failure(TCLAP::CmdLineInterface& line,            // NOLINT
               TCLAP::ArgException& error) override;

 private:
  const CommandHelp& help;
  Console& console;
};

}  // namespace detail

/// @brief Parser for one command's arguments; TCLAP arguments are registered on
/// Line().
class CommandArguments {
 public:
  /// @param[in] help,console outlive this
  CommandArguments(const CommandHelp& help, Console& console);

  TCLAP::CmdLine& Line() { return this->line; }

  /// @brief Parses the arguments; prints help or a usage error.
  /// @return empty if the command should run, otherwise its exit code
  std::optional<ExitCode> Parse(std::span<const std::string> arguments);

  /// @brief Prints a usage error that TCLAP itself cannot detect.
  ExitCode ReportUsageError(std::string_view what) const;

  /// @brief Prints an error found after parsing: a missing argument or an
  /// invalid settings file.
  ExitCode ReportError(const absl::Status& status) const;

 private:
  const CommandHelp& help;
  Console& console;
  detail::HelpOutput output;
  TCLAP::CmdLine line;
  TCLAP::HelpVisitor help_visitor;
  TCLAP::CmdLineOutput* output_address;
  TCLAP::SwitchArg help_switch;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_COMMAND_ARGUMENTS_H_
