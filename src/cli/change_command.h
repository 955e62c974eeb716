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

/// @brief The option `--operation` of commands that change an object.
class OperationOption {
 public:
  explicit OperationOption(TCLAP::CmdLine& line);

  /// @brief The operation id from the command line, or a new one.
  std::string Operation(NonceSource& operations);

 private:
  TCLAP::ValueArg<std::string> argument;
};

/// @brief Starts a change on `changes` and passes it the completion callback.
using StartChange =
    std::function<void(OperatorChanges& changes, const ChangeDone& done)>;

/// @brief Makes a change and waits for its result; the outcome is kUnknown if
/// none arrives in time.
ChangeResult AwaitChange(Platform& platform, const StartChange& start);

/// @brief The exit code for the outcome of a change.
ExitCode ExitCodeOf(ChangeOutcome outcome);

/// @brief Builds the text and JSON result of a change; pushes an accepted
/// object to the entry hosts.
/// @param[in] what the object in readable form, such as "template tags"
/// @param[in] operation the operation id, printed for a retry if the outcome is
/// unknown
CommandResult ReportChange(Platform& platform, const ChangeResult& end,
                           std::string_view what, std::string_view operation);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_CHANGE_COMMAND_H_
