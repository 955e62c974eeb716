#ifndef MEADOWTHREAD_CONFIGURATION_TEMPLATE_DOCUMENT_H_
#define MEADOWTHREAD_CONFIGURATION_TEMPLATE_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/template_problem.h"
#include "configuration/workspace_service.h"

namespace meadowthread {

/// @brief The keys that tell a workspace's callers, as SHA-256 in hex.
struct WorkspaceKeys {
  std::string workspace;
  std::vector<std::string> key_sha256;  ///< 64 lower-case digits each

  friend bool operator==(const WorkspaceKeys&, const WorkspaceKeys&) = default;
};

/// @brief A template with its parameters filled in for each workspace.
struct TemplateDocument {
  std::string name;
  std::vector<WorkspaceService> services;  ///< one a workspace, as written
  std::vector<WorkspaceKeys> keys;         ///< one a workspace, as written
};

/// @brief A template that was read, valid or not.
struct ParsedTemplate {
  TemplateDocument document;  ///< in force only where there is no problem
  std::vector<TemplateProblem> problems;  ///< all of them, by line

  bool IsValid() const { return this->problems.empty(); }
};

/// @brief Reads and checks an operator's template.
/// @param[in] yaml the text, as in docs/OPERATING.md
/// @param[in] version the object's version, 0 where not yet stored
ParsedTemplate ParseTemplate(std::string_view yaml, std::int64_t version);

/// @brief Whether a name may stand for a template, a workspace, a host.
bool IsName(std::string_view text);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_TEMPLATE_DOCUMENT_H_
