#ifndef MEADOWTHREAD_CLI_QUARANTINE_COMMANDS_H_
#define MEADOWTHREAD_CLI_QUARANTINE_COMMANDS_H_

#include <memory>

#include "base/clock.h"
#include "cli/command.h"
#include "cli/platform.h"

namespace meadowthread {

/// @brief `quarantine list`: prints the request contents that crashed servers,
/// with the recorded crashes.
/// @param[in] connector,clock outlive the command
std::unique_ptr<Command> MakeQuarantineListCommand(PlatformConnector& connector,
                                                   const Clock& clock);

/// @brief `quarantine keep`: quarantines a content until an operator lifts it.
/// @param[in] connector,clock outlive the command
std::unique_ptr<Command> MakeQuarantineKeepCommand(PlatformConnector& connector,
                                                   const Clock& clock);

/// @brief `quarantine lift`: lifts a quarantine; the crashes so far no longer
/// count.
/// @param[in] connector,clock outlive the command
std::unique_ptr<Command> MakeQuarantineLiftCommand(PlatformConnector& connector,
                                                   const Clock& clock);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_QUARANTINE_COMMANDS_H_
