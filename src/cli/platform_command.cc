#include "cli/platform_command.h"

#include "cli/command_arguments.h"
#include "cli/operator_options.h"

namespace meadowthread {

ExitCode PlatformCommand::Run(std::span<const std::string> arguments,
                              Console& console) {
  CommandArguments parser(this->help, console);
  const std::unique_ptr<Invocation> invocation = this->Prepare(parser.Line());
  PlatformOptions options(parser.Line());
  OutputOption output(parser.Line());
  const std::optional<ExitCode> exit_code = parser.Parse(arguments);
  if (exit_code.has_value()) {
    return *exit_code;
  }
  const absl::StatusOr<PlatformAddress> address = options.Address();
  if (!address.ok()) {
    return parser.ReportError(address.status());
  }
  const std::unique_ptr<Platform> platform = this->connector.Connect(*address);
  const RunContext context = {*platform, console, options.Deployment()};
  return output.Print(invocation->Run(context), console);
}

CommandResult UsageResult(std::string_view what) {
  CommandResult result;
  result.code = ExitCode::kUsage;
  result.text = std::string(what) + "\n";
  result.json["error"] = {{"message", std::string(what)}};
  return result;
}

CommandResult UsageResult(const absl::Status& status) {
  const absl::string_view message = status.message();
  return UsageResult(std::string_view(message.data(), message.size()));
}

}  // namespace meadowthread
