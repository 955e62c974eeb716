#include "cli/check_command.h"

#include "absl/strings/str_cat.h"
#include "cli/command_arguments.h"
#include "cli/command_result.h"
#include "cli/document_check.h"
#include "cli/input_file.h"

namespace meadowthread {
namespace {

CommandResult ToCommandResult(const std::string& file,
                              const CheckedDocument& checked) {
  CommandResult result;
  const std::string kind(DocumentKindName(checked.kind));
  result.json["file"] = file;
  result.json["kind"] = kind;
  result.json["problems"] = ProblemsJson(checked.problems);
  if (checked.problems.empty()) {
    result.text = absl::StrCat(file, ": a valid ", kind, " document\n");
    return result;
  }
  result.code = ExitCode::kInvalid;
  result.text = ProblemLines(file, checked.problems);
  return result;
}

class CheckCommand final : public Command {
 public:
  const CommandHelp& Help() const override { return this->help; }

  ExitCode Run(std::span<const std::string> arguments,
               Console& console) override {
    CommandArguments parser(this->help, console);
    TCLAP::UnlabeledValueArg<std::string> file(
        "file", "a settings or template file; - reads standard input", true, "",
        "FILE", parser.Line());
    OutputOption output(parser.Line());
    const std::optional<ExitCode> exit_code = parser.Parse(arguments);
    if (exit_code.has_value()) {
      return *exit_code;
    }
    const absl::StatusOr<std::string> text =
        ReadInput(file.getValue(), console);
    if (!text.ok()) {
      return output.Print(FailedResult(text.status()), console);
    }
    return output.Print(ToCommandResult(file.getValue(), CheckDocument(*text)),
                        console);
  }

 private:
  CommandHelp help = {
      "check",
      "validates a settings or template file without applying it",
      "Recognizes host settings and templates by their top-level fields and "
      "reports every\nproblem with its line and field. Makes no network "
      "calls.",
      {"meadowthread check entry-1.yaml",
       "meadowthread check daily-report.yaml --output json"}};
};

}  // namespace

std::unique_ptr<Command> MakeCheckCommand() {
  return std::make_unique<CheckCommand>();
}

}  // namespace meadowthread
