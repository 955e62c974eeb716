#ifndef MEADOWTHREAD_CLI_EXIT_CODE_H_
#define MEADOWTHREAD_CLI_EXIT_CODE_H_

#include <span>
#include <string_view>

#include "absl/status/status.h"

namespace meadowthread {

/// @brief Exit codes of the program. The numbers are stable.
enum class ExitCode : int {
  kOk = 0,           ///< success; a change was accepted
  kFailed = 1,       ///< any error without a code of its own
  kUsage = 2,        ///< the command line is wrong; nothing was attempted
  kInvalid = 3,      ///< a document is not valid; nothing was attempted
  kConflict = 4,     ///< another change came first; this one was not applied
  kUnknown = 5,      ///< the change may have taken effect or may still do so
  kUnavailable = 6,  ///< the platform did not answer; nothing was applied
  kNotFound = 7,     ///< the named object does not exist
  kUnchanged = 8,    ///< the requested state is already in place
};

/// @brief One exit code with its name and meaning, for help texts.
struct ExitCodeHelp {
  ExitCode code;
  std::string_view name;
  std::string_view meaning;
};

/// @brief All exit codes in ascending order.
std::span<const ExitCodeHelp> AllExitCodes();

/// @brief The code's name ("ok", "conflict", ...), as in JSON output.
std::string_view ExitCodeName(ExitCode code);

/// @brief The exit code for an error from the object API or from document
/// validation.
ExitCode ExitCodeOf(const absl::Status& status);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_EXIT_CODE_H_
