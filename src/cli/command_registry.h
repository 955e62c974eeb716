#ifndef MEADOWTHREAD_CLI_COMMAND_REGISTRY_H_
#define MEADOWTHREAD_CLI_COMMAND_REGISTRY_H_

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "cli/command.h"

namespace meadowthread {

/// @brief The program's commands, looked up by their command words.
class CommandRegistry {
 public:
  void Add(std::unique_ptr<Command> command);

  /// @brief Runs the command that `words` starts with.
  /// @param[in] words the command line without the program name
  /// @return the command's exit code; kUsage, after listing the commands, if
  /// none matches
  ExitCode Run(std::span<const std::string> words, Console& console) const;

 private:
  Command* Find(std::span<const std::string> words) const;
  ExitCode ReportUnknownCommand(std::span<const std::string> words,
                                Console& console) const;
  void PrintCommands(std::ostream& out, const std::string& group) const;

  std::vector<std::unique_ptr<Command>> commands;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_COMMAND_REGISTRY_H_
