#ifndef MEADOWTHREAD_CLI_TEMPLATE_COMMANDS_H_
#define MEADOWTHREAD_CLI_TEMPLATE_COMMANDS_H_

#include <memory>

#include "base/clock.h"
#include "cli/command.h"
#include "cli/platform.h"
#include "placement/nonce_source.h"

namespace meadowthread {

/// @name Read-only template commands; `connector` outlives them
///@{
std::unique_ptr<Command> MakeTemplateGetCommand(PlatformConnector& connector);
std::unique_ptr<Command> MakeTemplateListCommand(PlatformConnector& connector);
std::unique_ptr<Command> MakeTemplateHistoryCommand(
    PlatformConnector& connector);
///@}

/// @brief `template put`: validates and stores a template.
/// @param[in] connector,clock,operations outlive the command
std::unique_ptr<Command> MakeTemplatePutCommand(PlatformConnector& connector,
                                                const Clock& clock,
                                                NonceSource& operations);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_TEMPLATE_COMMANDS_H_
