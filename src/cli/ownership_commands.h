#ifndef MEADOWTHREAD_CLI_OWNERSHIP_COMMANDS_H_
#define MEADOWTHREAD_CLI_OWNERSHIP_COMMANDS_H_

#include <memory>

#include "base/clock.h"
#include "cli/command.h"
#include "cli/platform.h"
#include "placement/nonce_source.h"

namespace meadowthread {

/// @brief `ownership show`: prints which deployment owns each workspace and
/// engine.
/// @param[in] connector outlives the command
std::unique_ptr<Command> MakeOwnershipShowCommand(PlatformConnector& connector);

/// @brief `ownership move`: moves a workspace or engine to another deployment.
/// @param[in] connector,clock,operations outlive the command
std::unique_ptr<Command> MakeOwnershipMoveCommand(PlatformConnector& connector,
                                                  const Clock& clock,
                                                  NonceSource& operations);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_OWNERSHIP_COMMANDS_H_
