#ifndef MEADOWTHREAD_CLI_CHECK_COMMAND_H_
#define MEADOWTHREAD_CLI_CHECK_COMMAND_H_

#include <memory>

#include "cli/command.h"

namespace meadowthread {

/// @brief `check FILE`: validates a settings or template file.
std::unique_ptr<Command> MakeCheckCommand();

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_CHECK_COMMAND_H_
