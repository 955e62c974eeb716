#ifndef MEADOWTHREAD_CLI_CHANGE_RESULT_H_
#define MEADOWTHREAD_CLI_CHANGE_RESULT_H_

#include <string>
#include <string_view>

#include "cli/command_result.h"
#include "cli/object_change.h"

namespace meadowthread {

/// @brief The exit code of a change's end.
ExitCode ExitCodeOf(ChangeOutcome outcome);

/// @brief A change's end for persons and programs; an accepted object is
/// offered to the entry hosts.
/// @param[in] what the object for a person, such as "template tags"
/// @param[in] conflict what the standing object says, for conflicts
CommandResult TellChange(Platform& platform, const ChangeEnd& end,
                         std::string_view what, std::string_view conflict);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_CHANGE_RESULT_H_
