#ifndef MEADOWTHREAD_CLI_EXIT_CODE_H_
#define MEADOWTHREAD_CLI_EXIT_CODE_H_

#include <span>
#include <string_view>

#include "absl/status/status.h"

namespace meadowthread {

/// @brief How a command ended, as its process's exit code. Numbers are stable.
enum class ExitCode : int {
  kOk = 0,           ///< done; a change was accepted
  kFailed = 1,       ///< anything without a number of its own
  kUsage = 2,        ///< the command line is wrong; nothing was tried
  kInvalid = 3,      ///< a document is not valid; nothing was tried
  kConflict = 4,     ///< another change came first; certainly not applied
  kUnknown = 5,      ///< the change may have taken effect, or may yet
  kUnavailable = 6,  ///< the platform did not answer; certainly not applied
  kNotFound = 7,     ///< there is no such thing
  kUnchanged = 8,    ///< what was asked for stands already
};

/// @brief One exit code and what it says, for help texts.
struct ExitCodeHelp {
  ExitCode code;
  std::string_view name;
  std::string_view meaning;
};

/// @brief Every exit code, ascending.
std::span<const ExitCodeHelp> AllExitCodes();

/// @brief The code's name ("ok", "conflict", ...), as in JSON output.
std::string_view ExitCodeName(ExitCode code);

/// @brief The code for an error of the object API or of a document.
ExitCode ExitCodeOf(const absl::Status& status);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_EXIT_CODE_H_
