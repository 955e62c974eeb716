#ifndef MEADOWTHREAD_CLI_COMMAND_H_
#define MEADOWTHREAD_CLI_COMMAND_H_

#include <span>
#include <string>
#include <vector>

#include "cli/console.h"
#include "cli/exit_code.h"

namespace meadowthread {

/// @brief The parts of a command's help text other than its arguments.
struct CommandHelp {
  std::string name;     ///< the command words, such as "template put"
  std::string summary;  ///< one line
  std::string description;
  std::vector<std::string> examples;  ///< complete command lines
};

/// @brief One command of the program.
class Command {
 public:
  virtual ~Command() = default;

  virtual const CommandHelp& Help() const = 0;

  /// @brief Parses the arguments and runs the command.
  /// @param[in] arguments without the program name and the command words
  virtual ExitCode Run(std::span<const std::string> arguments,
                       Console& console) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_COMMAND_H_
