#ifndef MEADOWTHREAD_CONFIGURATION_TEMPLATE_DOCUMENT_H_
#define MEADOWTHREAD_CONFIGURATION_TEMPLATE_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/template_problem.h"
#include "configuration/workspace_service.h"

namespace meadowthread {

/// @brief The API keys of a workspace, as SHA-256 digests in hexadecimal.
struct WorkspaceKeys {
  std::string workspace;
  std::vector<std::string> key_sha256;  ///< 64 lower-case digits each

  friend bool operator==(const WorkspaceKeys&, const WorkspaceKeys&) = default;
};

/// @brief A template with its parameters substituted for each workspace.
struct TemplateDocument {
  std::string name;
  std::vector<WorkspaceService> services;  ///< one per workspace, in file order
  std::vector<WorkspaceKeys> keys;         ///< one per workspace, in file order
};

/// @brief Result of parsing a template, valid or not.
struct ParsedTemplate {
  TemplateDocument document;              ///< usable only if IsValid()
  std::vector<TemplateProblem> problems;  ///< sorted by line

  bool IsValid() const { return this->problems.empty(); }
};

/// @brief Parses and validates an operator's template.
/// @param[in] yaml the text, as in docs/OPERATING.md
/// @param[in] version the object's version, 0 if not yet stored
ParsedTemplate ParseTemplate(std::string_view yaml, std::int64_t version);

/// @brief Whether a text is a valid name of a template, workspace, service,
/// host or availability zone.
bool IsName(std::string_view text);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_TEMPLATE_DOCUMENT_H_
