#ifndef MEADOWTHREAD_CLI_STATUS_COMMAND_H_
#define MEADOWTHREAD_CLI_STATUS_COMMAND_H_

#include <memory>

#include "base/clock.h"
#include "cli/command.h"
#include "cli/platform.h"

namespace meadowthread {

/// @brief `status`: shows the state of all entry hosts in one table.
/// @param[in] connector,clock outlive the command
std::unique_ptr<Command> MakeStatusCommand(PlatformConnector& connector,
                                           const Clock& clock);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_STATUS_COMMAND_H_
