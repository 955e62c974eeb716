#ifndef MEADOWTHREAD_CLI_COMMAND_H_
#define MEADOWTHREAD_CLI_COMMAND_H_

#include <span>
#include <string>
#include <vector>

#include "cli/console.h"
#include "cli/exit_code.h"

namespace meadowthread {

/// @brief What a command's help says besides its arguments.
struct CommandHelp {
  std::string name;     ///< its words, such as "template put"
  std::string summary;  ///< one line
  std::string description;
  std::vector<std::string> examples;  ///< whole command lines
};

/// @brief One command of the program.
class Command {
 public:
  virtual ~Command() = default;

  virtual const CommandHelp& Help() const = 0;

  /// @brief Parses its arguments and runs.
  /// @param[in] arguments without the program and the command's own words
  virtual ExitCode Run(std::span<const std::string> arguments,
                       Console& console) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_COMMAND_H_
