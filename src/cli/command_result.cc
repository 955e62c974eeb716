#include "cli/command_result.h"

#include "absl/strings/str_cat.h"
#include "base/error.h"

namespace meadowthread {
namespace {

TCLAP::Constraint<std::string>* Formats() {
  static std::vector<std::string> names = {"text", "json"};
  static TCLAP::ValuesConstraint<std::string> constraint(names);
  return &constraint;
}

bool IsError(ExitCode code) {
  return code != ExitCode::kOk && code != ExitCode::kUnchanged;
}

}  // namespace

CommandResult FailedResult(const absl::Status& status) {
  const ErrorDetail detail = DetailOf(status);
  const std::string message(status.message().data(), status.message().size());
  CommandResult result;
  result.code = ExitCodeOf(status);
  result.json["error"] = {{"code", static_cast<int>(detail.id)},
                          {"step", detail.step},
                          {"peer", detail.peer},
                          {"field", detail.field},
                          {"message", message}};
  result.text =
      absl::StrCat("error ", static_cast<int>(detail.id), ": ", message, "\n");
  if (!detail.step.empty()) {
    absl::StrAppend(&result.text, "  step: ", detail.step, "\n");
  }
  if (!detail.peer.empty()) {
    absl::StrAppend(&result.text, "  peer: ", detail.peer, "\n");
  }
  return result;
}

OutputOption::OutputOption(TCLAP::CmdLine& line)
    : argument("", "output", "output format (default: text)", false, "text",
               Formats(), line) {}

ExitCode OutputOption::Print(const CommandResult& result, Console& console) {
  if (!this->IsJson()) {
    (IsError(result.code) ? console.err : console.out) << result.text;
    return result.code;
  }
  nlohmann::ordered_json json;
  json["result"] = std::string(ExitCodeName(result.code));
  json["exit_code"] = static_cast<int>(result.code);
  json.update(result.json);
  // Invalid UTF-8 from a log or a file is replaced; by default dump() throws on
  // it.
  console.out << json.dump(2, ' ', false,
                           nlohmann::json::error_handler_t::replace)
              << "\n";
  return result.code;
}

}  // namespace meadowthread
