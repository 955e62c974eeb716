#ifndef MEADOWTHREAD_CLI_VERSION_COMMAND_H_
#define MEADOWTHREAD_CLI_VERSION_COMMAND_H_

#include <memory>

#include "cli/command.h"

namespace meadowthread {

/// @brief `version`: prints the version of the program.
std::unique_ptr<Command> MakeVersionCommand();

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_VERSION_COMMAND_H_
