#include "cli/document_check.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <span>

#include "absl/strings/str_cat.h"
#include "configuration/template_document.h"
#include "settings/relay_settings.h"
#include "settings/settings.h"

namespace meadowthread {
namespace {

constexpr std::array<std::string_view, 11> kSettingsFields = {
    "host",     "platform", "half",      "callers",       "answers", "policy",
    "exchange", "claims",   "placement", "configuration", "tls"};
// Fields that occur only in the settings of a relay host.
constexpr std::array<std::string_view, 4> kRelayFields = {"listen", "store",
                                                          "retries", "bounds"};
constexpr std::array<std::string_view, 8> kTemplateFields = {
    "name",     "parameters",     "models", "urgency",
    "delivery", "not_repeatable", "limits", "workspaces"};

int CountKnown(const YAML::Node& document,
               std::span<const std::string_view> known) {
  int count = 0;
  for (const auto& entry : document) {
    const bool is_known = entry.first.IsScalar() &&
                          std::find(known.begin(), known.end(),
                                    entry.first.Scalar()) != known.end();
    count += is_known ? 1 : 0;
  }
  return count;
}

DocumentKind KindOf(const YAML::Node& document) {
  if (!document.IsMap()) {
    return DocumentKind::kNeither;
  }
  if (CountKnown(document, kRelayFields) > 0) {
    return DocumentKind::kRelaySettings;
  }
  const int of_settings = CountKnown(document, kSettingsFields);
  const int of_template = CountKnown(document, kTemplateFields);
  if (of_settings == of_template) {
    return DocumentKind::kNeither;
  }
  return of_settings > of_template ? DocumentKind::kSettings
                                   : DocumentKind::kTemplate;
}

template <typename Problem>
std::vector<DocumentProblem> Converted(const std::vector<Problem>& problems) {
  std::vector<DocumentProblem> converted;
  converted.reserve(problems.size());
  for (const Problem& problem : problems) {
    converted.push_back({problem.line, problem.field, problem.message});
  }
  return converted;
}

}  // namespace

std::string_view DocumentKindName(DocumentKind kind) {
  switch (kind) {
    case DocumentKind::kSettings:
      return "settings";
    case DocumentKind::kRelaySettings:
      return "relay settings";
    case DocumentKind::kTemplate:
      return "template";
    case DocumentKind::kNeither:
      break;
  }
  return "neither";
}

CheckedDocument CheckDocument(std::string_view text) {
  CheckedDocument checked;
  try {
    checked.kind = KindOf(YAML::Load(std::string(text)));
  } catch (const YAML::Exception& error) {
    checked.problems.push_back(
        {error.mark.line + 1, "document", "is not YAML: " + error.msg});
    return checked;
  }
  if (checked.kind == DocumentKind::kSettings) {
    checked.problems = Converted(ParseSettings(text).problems);
  } else if (checked.kind == DocumentKind::kRelaySettings) {
    checked.problems = Converted(ParseRelaySettings(text).problems);
  } else if (checked.kind == DocumentKind::kTemplate) {
    return CheckTemplate(text);
  } else {
    checked.problems.push_back(
        {0, "document",
         "is neither settings (host, platform, ...) nor a template (name, "
         "models, workspaces, ...)"});
  }
  return checked;
}

CheckedDocument CheckTemplate(std::string_view text) {
  return {DocumentKind::kTemplate, Converted(ParseTemplate(text, 0).problems)};
}

nlohmann::ordered_json ProblemsJson(
    const std::vector<DocumentProblem>& problems) {
  nlohmann::ordered_json json = nlohmann::ordered_json::array();
  for (const DocumentProblem& problem : problems) {
    json.push_back({{"line", problem.line},
                    {"field", problem.field},
                    {"message", problem.message}});
  }
  return json;
}

std::string ProblemLines(std::string_view file,
                         const std::vector<DocumentProblem>& problems) {
  std::string lines;
  for (const DocumentProblem& problem : problems) {
    absl::StrAppend(&lines, std::string(file), ":", problem.line, ": ",
                    problem.field, " ", problem.message, "\n");
  }
  return lines;
}

}  // namespace meadowthread
