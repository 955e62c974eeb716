#ifndef MEADOWTHREAD_CLI_CHANGE_COMMAND_H_
#define MEADOWTHREAD_CLI_CHANGE_COMMAND_H_

#include <tclap/CmdLine.h>

#include <functional>
#include <string>
#include <string_view>

#include "cli/command_result.h"
#include "cli/platform.h"
#include "configuration/operator_change.h"
#include "placement/nonce_source.h"

namespace meadowthread {

/// @brief The argument `--operation` of commands that change something.
class OperationOption {
 public:
  explicit OperationOption(TCLAP::CmdLine& line);

  /// @brief The id that was given, else a new one.
  std::string Operation(NonceSource& operations);

 private:
  TCLAP::ValueArg<std::string> argument;
};

/// @brief Starts a change on `changes`, with the callback for its end.
using StartChange =
    std::function<void(OperatorChanges& changes, const ChangeDone& done)>;

/// @brief Makes a change and waits for its end; kUnknown where none came.
ChangeResult AwaitChange(Platform& platform, const StartChange& start);

/// @brief The exit code of a change's end.
ExitCode ExitCodeOf(ChangeOutcome outcome);

/// @brief A change's end for persons and programs; an accepted object is
/// offered to the entry hosts.
/// @param[in] what the object for a person, such as "template tags"
/// @param[in] operation named where the change is not settled
CommandResult TellChange(Platform& platform, const ChangeResult& end,
                         std::string_view what, std::string_view operation);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_CHANGE_COMMAND_H_
