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

/// @brief What a command found or did, for persons and for programs.
struct CommandResult {
  ExitCode code = ExitCode::kOk;
  std::string text;  ///< whole lines
  /// Members of the JSON object that follow "result" and "exit_code".
  nlohmann::ordered_json json = nlohmann::ordered_json::object();
};

/// @brief The result of a step that failed: id, step, peer, field, message.
CommandResult FailedResult(const absl::Status& status);

/// @brief The argument `--output text|json`.
class OutputOption {
 public:
  explicit OutputOption(TCLAP::CmdLine& line);

  bool IsJson() { return this->argument.getValue() == "json"; }

  /// @brief Writes a result as asked for; errors as text go to `err`.
  /// @return the result's code
  ExitCode Print(const CommandResult& result, Console& console);

 private:
  TCLAP::ValueArg<std::string> argument;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_COMMAND_RESULT_H_
