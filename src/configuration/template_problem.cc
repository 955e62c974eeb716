#include "configuration/template_problem.h"

#include "base/error.h"

namespace meadowthread {

std::string ToText(const TemplateProblem& problem) {
  std::string text;
  if (problem.line > 0) {
    text += "line " + std::to_string(problem.line) + ": ";
  }
  if (!problem.field.empty()) {
    text += problem.field + ": ";
  }
  return text + problem.message;
}

absl::Status TemplateInvalid(std::span<const TemplateProblem> problems) {
  ErrorDetail detail;
  detail.id = ErrorId::kTemplateInvalid;
  detail.step = "check-template";
  std::string message;
  for (const TemplateProblem& problem : problems) {
    message += message.empty() ? "" : "\n";
    message += ToText(problem);
  }
  if (!problems.empty()) {
    detail.field = problems.front().field;
  }
  return MakeError(absl::StatusCode::kInvalidArgument, detail, message);
}

}  // namespace meadowthread
