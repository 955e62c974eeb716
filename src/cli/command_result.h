#ifndef MEADOWTHREAD_CLI_COMMAND_RESULT_H_
#define MEADOWTHREAD_CLI_COMMAND_RESULT_H_

#include <tclap/CmdLine.h>

#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "cli/console.h"
#include "cli/exit_code.h"
#include "nlohmann/json.hpp"

namespace meadowthread {

/// @brief The result of a command, as text for people and as JSON for programs.
struct CommandResult {
  ExitCode code = ExitCode::kOk;
  std::string text;  ///< complete lines
  /// Members added to the JSON output after "result" and "exit_code".
  nlohmann::ordered_json json = nlohmann::ordered_json::object();
};

/// @brief The result for an error: its id, step, peer, field and message.
CommandResult FailedResult(const absl::Status& status);

/// @brief The option `--output text|json`.
class OutputOption {
 public:
  explicit OutputOption(TCLAP::CmdLine& line);

  bool IsJson() { return this->argument.getValue() == "json"; }

  /// @brief Writes a result in the selected format; errors in text format go to
  /// `err`.
  /// @return the result's exit code
  ExitCode Print(const CommandResult& result, Console& console);

 private:
  TCLAP::ValueArg<std::string> argument;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_COMMAND_RESULT_H_
