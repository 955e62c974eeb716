#ifndef MEADOWTHREAD_CLI_COMMAND_REGISTRY_H_
#define MEADOWTHREAD_CLI_COMMAND_REGISTRY_H_

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "cli/command.h"

namespace meadowthread {

/// @brief The program's commands, found by their words.
class CommandRegistry {
 public:
  void Add(std::unique_ptr<Command> command);

  /// @brief Runs the command that the words name.
  /// @param[in] words the command line without the program
  /// @return kUsage where they name none, with the commands told
  ExitCode Run(std::span<const std::string> words, Console& console) const;

 private:
  Command* Find(std::span<const std::string> words) const;
  ExitCode TellUnknown(std::span<const std::string> words,
                       Console& console) const;
  void TellAll(std::ostream& out, const std::string& group) const;

  std::vector<std::unique_ptr<Command>> commands;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_COMMAND_REGISTRY_H_
