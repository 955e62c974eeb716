#ifndef MEADOWTHREAD_CLI_ZONE_COMMANDS_H_
#define MEADOWTHREAD_CLI_ZONE_COMMANDS_H_

#include <memory>

#include "base/clock.h"
#include "cli/command.h"
#include "cli/platform.h"
#include "placement/nonce_source.h"

namespace meadowthread {

/// @brief `zone list`: lists availability zones that were emptied or taken
/// back.
/// @param[in] connector outlives the command
std::unique_ptr<Command> MakeZoneListCommand(PlatformConnector& connector);

/// @brief `zone empty`: stops sending new work to the servers of a zone.
/// @param[in] connector,clock,operations outlive the command
std::unique_ptr<Command> MakeZoneEmptyCommand(PlatformConnector& connector,
                                              const Clock& clock,
                                              NonceSource& operations);

/// @brief `zone take-back`: uses the zone's servers again.
/// @param[in] connector,clock,operations outlive the command
std::unique_ptr<Command> MakeZoneTakeBackCommand(PlatformConnector& connector,
                                                 const Clock& clock,
                                                 NonceSource& operations);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_ZONE_COMMANDS_H_
