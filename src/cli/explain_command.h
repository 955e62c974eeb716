#ifndef MEADOWTHREAD_CLI_EXPLAIN_COMMAND_H_
#define MEADOWTHREAD_CLI_EXPLAIN_COMMAND_H_

#include <memory>

#include "cli/command.h"

namespace meadowthread {

/// @brief `explain REQUEST`: shows the history of a request from log lines.
std::unique_ptr<Command> MakeExplainCommand();

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_EXPLAIN_COMMAND_H_
