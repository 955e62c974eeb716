#ifndef MEADOWTHREAD_CLI_HOST_COMMANDS_H_
#define MEADOWTHREAD_CLI_HOST_COMMANDS_H_

#include <memory>

#include "base/clock.h"
#include "cli/command.h"
#include "cli/platform.h"
#include "placement/nonce_source.h"

namespace meadowthread {

/// @brief `host list`: prints the host list with the marks set by operators.
/// @param[in] connector outlives the command
std::unique_ptr<Command> MakeHostListCommand(PlatformConnector& connector);

/// @brief `host mark`: marks a host as leaving, stopping or live.
/// @param[in] connector,clock,operations outlive the command
std::unique_ptr<Command> MakeHostMarkCommand(PlatformConnector& connector,
                                             const Clock& clock,
                                             NonceSource& operations);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_HOST_COMMANDS_H_
