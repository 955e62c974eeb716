#ifndef MEADOWTHREAD_MAIN_RELAY_COMMAND_H_
#define MEADOWTHREAD_MAIN_RELAY_COMMAND_H_

#include <memory>

#include "cli/command.h"

namespace meadowthread {

/// @brief `relay`: runs this process as an entry host on the users' platform
/// until it is stopped.
std::unique_ptr<Command> MakeRelayCommand();

}  // namespace meadowthread

#endif  // MEADOWTHREAD_MAIN_RELAY_COMMAND_H_
