#include "configuration/template_document.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "configuration/service_reader.h"
#include "configuration/yaml_reader.h"

namespace meadowthread {
namespace {

constexpr std::array<std::string_view, 8> kTemplateFields = {
    "name",     "parameters",     "models", "urgency",
    "delivery", "not_repeatable", "limits", "workspaces"};
constexpr std::array<std::string_view, 4> kWorkspaceFields = {
    "workspace", "key_sha256", "weight", "parameters"};
constexpr char kNameRule[] = "' may hold only a-z, 0-9 and -, 1 to 63 of them";
constexpr double kMinWeight = 0.01;
constexpr double kMaxWeight = 1000;

/// Reads a document once without substituting parameters, then once for each
/// workspace with its parameters substituted.
class TemplateReader {
 public:
  explicit TemplateReader(std::int64_t version) : version(version) {}

  ParsedTemplate Read(const YAML::Node& node);

 private:
  std::string ReadName(const YamlField& field);
  std::vector<std::string> ReadParameters(const YamlField& field);
  void ReadWorkspace(const YamlField& root, const YamlField& field);
  void ReadValues(const YamlField& field, ParameterScope* scope);
  std::vector<std::string> ReadKeys(const YamlField& field);

  std::int64_t version;
  YamlReader reader{ParameterScope{}};
  std::vector<std::string> declared;
  /// Shared by all workspaces if no parameters are declared.
  WorkspaceService common;
  std::set<std::string> workspaces;
  std::set<std::string> keys;
  TemplateDocument document;
};

ParsedTemplate TemplateReader::Read(const YAML::Node& node) {
  const YamlField root = {node, ""};
  if (this->reader.CheckMap(root, kTemplateFields)) {
    this->document.name =
        this->ReadName(this->reader.RequiredMember(root, "name"));
    this->declared =
        this->ReadParameters(this->reader.Member(root, "parameters"));
    this->reader.SetScope(ParameterScope{this->declared, {}, ""});
    this->common = ReadService(this->reader, root);
    const YamlField list = this->reader.RequiredMember(root, "workspaces");
    for (const YamlField& item : this->reader.Items(list)) {
      this->ReadWorkspace(root, item);
    }
  }
  return ParsedTemplate{std::move(this->document), this->reader.TakeProblems()};
}

std::string TemplateReader::ReadName(const YamlField& field) {
  const std::optional<std::string> name = this->reader.RawText(field);
  if (name.has_value() && !IsName(*name)) {
    this->reader.Report(field, absl::StrCat("'", *name, kNameRule));
  }
  return name.value_or("");
}

std::vector<std::string> TemplateReader::ReadParameters(
    const YamlField& field) {
  std::vector<std::string> names;
  for (const YamlField& item : this->reader.Items(field)) {
    const std::optional<std::string> name = this->reader.RawText(item);
    if (!name.has_value()) {
      continue;
    }
    if (name->empty() || name->find_first_of("${} ") != std::string::npos) {
      this->reader.Report(
          item, absl::StrCat("'", *name, "' cannot name a parameter"));
    } else if (std::find(names.begin(), names.end(), *name) != names.end()) {
      this->reader.Report(item, absl::StrCat("'", *name, "' is given twice"));
    }
    names.push_back(*name);
  }
  return names;
}

void TemplateReader::ReadWorkspace(const YamlField& root,
                                   const YamlField& field) {
  // These fields differ by workspace themselves, so parameters are not
  // substituted in them.
  this->reader.SetScope(ParameterScope{});
  if (!this->reader.CheckMap(field, kWorkspaceFields)) {
    return;
  }
  const YamlField name = this->reader.RequiredMember(field, "workspace");
  ParameterScope scope{this->declared, {}, this->ReadName(name)};
  if (name.IsPresent() && !this->workspaces.insert(scope.workspace).second) {
    this->reader.Report(name,
                        absl::StrCat("'", scope.workspace, "' is given twice"));
  }
  const std::optional<double> weight = this->reader.Number(
      this->reader.Member(field, "weight"), kMinWeight, kMaxWeight);
  this->document.keys.push_back(
      WorkspaceKeys{scope.workspace,
                    this->ReadKeys(this->reader.Member(field, "key_sha256"))});
  this->ReadValues(field, &scope);
  this->reader.SetScope(scope);
  WorkspaceService service =
      this->declared.empty() ? this->common : ReadService(this->reader, root);
  service.workspace = scope.workspace;
  service.template_name = this->document.name;
  service.template_version = this->version;
  service.weight = weight.value_or(1);
  this->document.services.push_back(std::move(service));
}

void TemplateReader::ReadValues(const YamlField& field, ParameterScope* scope) {
  const YamlField values = this->reader.Member(field, "parameters");
  if (values.IsPresent()) {
    const std::vector<std::string_view> known(this->declared.begin(),
                                              this->declared.end());
    if (!this->reader.CheckMap(values, known)) {
      return;
    }
  }
  for (const std::string& parameter : this->declared) {
    const YamlField value = this->reader.Member(values, parameter);
    if (!value.IsPresent()) {
      this->reader.Report({field.node, field.path + ".parameters." + parameter},
                          "is missing: the template declares it");
    }
    const std::optional<std::string> text = this->reader.RawText(value);
    if (text.has_value()) {
      scope->values.emplace(parameter, *text);
    }
  }
}

std::vector<std::string> TemplateReader::ReadKeys(const YamlField& field) {
  constexpr std::size_t kDigits = 64;
  std::vector<std::string> digests;
  for (const YamlField& item : this->reader.Items(field)) {
    const std::optional<std::string> raw = this->reader.RawText(item);
    if (!raw.has_value()) {
      continue;
    }
    const std::string digest = absl::AsciiStrToLower(*raw);
    const bool is_digest =
        digest.size() == kDigits &&
        std::all_of(digest.begin(), digest.end(), [](unsigned char letter) {
          return absl::ascii_isxdigit(letter);
        });
    if (!is_digest) {
      // The message omits the value: it may be the API key itself, given by
      // mistake.
      this->reader.Report(item, "is not 64 hexadecimal digits of a SHA-256");
    } else if (!this->keys.insert(digest).second) {
      this->reader.Report(item, "is given twice");
    }
    digests.push_back(digest);
  }
  return digests;
}

/// Ignores all events of a document.
class NullEventHandler final : public YAML::EventHandler {
 public:
  void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& /*mark*/, YAML::anchor_t /*anchor*/) override {}
  void OnAlias(const YAML::Mark& /*mark*/, YAML::anchor_t /*anchor*/) override {
  }
  void OnScalar(const YAML::Mark& /*mark*/, const std::string& /*tag*/,
                YAML::anchor_t /*anchor*/,
                const std::string& /*value*/) override {}
  void OnSequenceStart(const YAML::Mark& /*mark*/, const std::string& /*tag*/,
                       YAML::anchor_t /*anchor*/,
                       YAML::EmitterStyle::value /*style*/) override {}
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark& /*mark*/, const std::string& /*tag*/,
                  YAML::anchor_t /*anchor*/,
                  YAML::EmitterStyle::value /*style*/) override {}
  void OnMapEnd() override {}
};

// YAML::LoadAll never returns on a text such as ", a: 1", in which the parser
// finds an endless sequence of empty documents. YAML::Load alone would ignore
// whatever follows the first document. Parsing at most two documents detects
// both cases.
bool IsOneDocument(const std::string& text) {
  std::istringstream stream(text);
  YAML::Parser parser(stream);
  NullEventHandler handler;
  const bool has_one = parser.HandleNextDocument(handler);
  return has_one && !parser.HandleNextDocument(handler);
}

ParsedTemplate OneProblem(int line, std::string_view message) {
  ParsedTemplate parsed;
  parsed.problems.push_back({line, "", std::string(message)});
  return parsed;
}

}  // namespace

bool IsName(std::string_view text) {
  constexpr std::size_t kMaxLength = 63;
  if (text.empty() || text.size() > kMaxLength) {
    return false;
  }
  return std::all_of(text.begin(), text.end(), [](unsigned char letter) {
    return absl::ascii_islower(letter) || absl::ascii_isdigit(letter) ||
           letter == '-';
  });
}

ParsedTemplate ParseTemplate(std::string_view yaml, std::int64_t version) {
  // yaml-cpp reports errors by exceptions; none leaves this function.
  try {
    const std::string text(yaml);
    if (!IsOneDocument(text)) {
      return OneProblem(0, "a template must be exactly one YAML document");
    }
    return TemplateReader(version).Read(YAML::Load(text));
  } catch (const YAML::Exception& error) {
    return OneProblem(error.mark.line + 1, "not YAML: " + error.msg);
  }
}

}  // namespace meadowthread
