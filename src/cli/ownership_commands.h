#ifndef MEADOWTHREAD_CLI_OWNERSHIP_COMMANDS_H_
#define MEADOWTHREAD_CLI_OWNERSHIP_COMMANDS_H_

#include <memory>

#include "base/clock.h"
#include "cli/command.h"
#include "cli/platform.h"
#include "placement/nonce_source.h"

namespace meadowthread {

/// @brief `ownership show`: which half owns what.
/// @param[in] connector outlives the command
std::unique_ptr<Command> MakeOwnershipShowCommand(PlatformConnector& connector);

/// @brief `ownership move`: hands a workspace or engine to a half.
/// @param[in] connector,clock,operations outlive the command
std::unique_ptr<Command> MakeOwnershipMoveCommand(PlatformConnector& connector,
                                                  const Clock& clock,
                                                  NonceSource& operations);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_OWNERSHIP_COMMANDS_H_
