#ifndef MEADOWTHREAD_CLI_QUARANTINE_COMMANDS_H_
#define MEADOWTHREAD_CLI_QUARANTINE_COMMANDS_H_

#include <memory>

#include "base/clock.h"
#include "cli/command.h"
#include "cli/platform.h"

namespace meadowthread {

/// @brief `quarantine list`: contents under which servers ended, with the
/// evidence.
/// @param[in] connector,clock outlive the command
std::unique_ptr<Command> MakeQuarantineListCommand(PlatformConnector& connector,
                                                   const Clock& clock);

/// @brief `quarantine keep`: keeps a content from all servers until it is
/// lifted.
/// @param[in] connector,clock outlive the command
std::unique_ptr<Command> MakeQuarantineKeepCommand(PlatformConnector& connector,
                                                   const Clock& clock);

/// @brief `quarantine lift`: takes back what speaks against a content.
/// @param[in] connector,clock outlive the command
std::unique_ptr<Command> MakeQuarantineLiftCommand(PlatformConnector& connector,
                                                   const Clock& clock);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_QUARANTINE_COMMANDS_H_
