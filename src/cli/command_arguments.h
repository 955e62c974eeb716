#ifndef MEADOWTHREAD_CLI_COMMAND_ARGUMENTS_H_
#define MEADOWTHREAD_CLI_COMMAND_ARGUMENTS_H_

#include <tclap/CmdLine.h>

#include <optional>
#include <span>
#include <string>

#include "cli/command.h"

namespace meadowthread {

namespace detail {

/// @brief TCLAP's output as help that teaches.
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

/// @brief One command's arguments: TCLAP's arguments are made over Line().
class CommandArguments {
 public:
  /// @param[in] help,console outlive this
  CommandArguments(const CommandHelp& help, Console& console);

  TCLAP::CmdLine& Line() { return this->line; }

  /// @brief Parses; tells help or what is wrong.
  /// @return nothing where the command is to go on, else how it ended
  std::optional<ExitCode> Parse(std::span<const std::string> arguments);

  /// @brief Tells an error of the arguments that TCLAP cannot see.
  ExitCode Wrong(std::string_view what) const;

  /// @brief Tells an error in what the arguments name: a missing argument, or
  /// a settings file that is not valid.
  ExitCode Refuse(const absl::Status& status) const;

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
