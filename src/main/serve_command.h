#ifndef MEADOWTHREAD_MAIN_SERVE_COMMAND_H_
#define MEADOWTHREAD_MAIN_SERVE_COMMAND_H_

#include <memory>

#include "cli/command.h"

namespace meadowthread {

/// @brief `serve`: runs this process as an entry host until it is stopped.
std::unique_ptr<Command> MakeServeCommand();

}  // namespace meadowthread

#endif  // MEADOWTHREAD_MAIN_SERVE_COMMAND_H_
