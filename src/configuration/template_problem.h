#ifndef MEADOWTHREAD_CONFIGURATION_TEMPLATE_PROBLEM_H_
#define MEADOWTHREAD_CONFIGURATION_TEMPLATE_PROBLEM_H_

#include <compare>
#include <span>
#include <string>

#include "absl/status/status.h"

namespace meadowthread {

/// @brief One error in a template, for the person who wrote it.
struct TemplateProblem {
  int line = 0;         ///< from 1; 0: the document as a whole
  std::string field;    ///< such as `workspaces[2].weight`
  std::string message;  ///< what is wrong and what is expected

  // clang-tidy mistakes the defaulted comparison for one with a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TemplateProblem&) const = default;
};

/// @brief Formats a problem as one line: `line 3: models[0].model: is missing`.
std::string ToText(const TemplateProblem& problem);

/// @brief One kTemplateInvalid error that lists all problems and names the
/// first field.
absl::Status TemplateInvalid(std::span<const TemplateProblem> problems);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_TEMPLATE_PROBLEM_H_
