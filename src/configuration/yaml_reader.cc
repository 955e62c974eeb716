#include "configuration/yaml_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/nearest_name.h"

namespace meadowthread {
namespace detail {

std::string JoinWords(std::span<const std::string_view> words) {
  std::string joined;
  for (const std::string_view word : words) {
    joined += joined.empty() ? "" : ", ";
    joined += word;
  }
  return joined;
}

}  // namespace detail
namespace {

std::string MemberPath(std::string_view map, std::string_view key) {
  if (map.empty()) {
    return std::string(key);
  }
  return std::string(map) + "." + std::string(key);
}

std::string UnknownKey(std::string_view key,
                       std::span<const std::string_view> known) {
  const std::string_view nearest = NearestName(key, known);
  if (nearest.empty()) {
    return "is unknown; known are: " + detail::JoinWords(known);
  }
  return absl::StrCat("is unknown; did you mean '", std::string(nearest), "'?");
}

bool UsesParameter(const YamlField& field) {
  return field.IsPresent() && field.node.IsScalar() &&
         field.node.Scalar().find("${") != std::string::npos;
}

}  // namespace

bool YamlReader::CheckMap(const YamlField& field,
                          std::span<const std::string_view> known) {
  if (!field.node.IsMap()) {
    this->Report(field, "is not a map of fields");
    return false;
  }
  std::set<std::string> seen;
  for (const auto& member : field.node) {
    const bool is_text = member.first.IsScalar();
    const std::string key = is_text ? member.first.Scalar() : "?";
    const YamlField at = {member.first, MemberPath(field.path, key)};
    if (!is_text) {
      this->Report(at, "a field name is not a string");
    } else if (std::find(known.begin(), known.end(), key) == known.end()) {
      this->Report(at, UnknownKey(key, known));
    } else if (!seen.insert(key).second) {
      this->Report(at, "is given twice");
    }
  }
  return true;
}

std::vector<YamlField> YamlReader::Items(const YamlField& field) {
  std::vector<YamlField> items;
  if (!field.IsPresent()) {
    return items;
  }
  if (!field.node.IsSequence()) {
    this->Report(field, "is not a list");
    return items;
  }
  for (std::size_t i = 0; i < field.node.size(); ++i) {
    items.push_back(
        {field.node[i], field.path + "[" + std::to_string(i) + "]"});
  }
  return items;
}

YamlField YamlReader::Member(const YamlField& map, std::string_view key) const {
  const YAML::Node& node = map.node;
  if (!node.IsDefined() || !node.IsMap()) {
    return {YAML::Node(YAML::NodeType::Undefined), MemberPath(map.path, key)};
  }
  return {node[std::string(key)], MemberPath(map.path, key)};
}

YamlField YamlReader::RequiredMember(const YamlField& map,
                                     std::string_view key) {
  YamlField member = this->Member(map, key);
  if (!member.IsPresent()) {
    this->Report({map.node, member.path}, "is missing");
  }
  return member;
}

std::optional<std::string> YamlReader::RawText(const YamlField& field) {
  if (!field.IsPresent()) {
    return std::nullopt;
  }
  if (!field.node.IsScalar()) {
    this->Report(field, "is not a single value");
    return std::nullopt;
  }
  return field.node.Scalar();
}

std::optional<std::string> YamlReader::Text(const YamlField& field) {
  const std::optional<std::string> raw = this->RawText(field);
  return raw.has_value() ? this->Substitute(field, *raw) : std::nullopt;
}

std::optional<double> YamlReader::Number(const YamlField& field, double min,
                                         double max) {
  const std::optional<std::string> text = this->Text(field);
  if (!text.has_value()) {
    return std::nullopt;
  }
  double value = 0;
  const bool is_number = absl::SimpleAtod(*text, &value);
  if (!is_number || !std::isfinite(value) || value < min || value > max) {
    this->Report(field, absl::StrCat("'", *text, "' is not a number from ", min,
                                     " to ", max));
    return std::nullopt;
  }
  return value;
}

std::optional<std::int64_t> YamlReader::Integer(const YamlField& field,
                                                std::int64_t min,
                                                std::int64_t max) {
  const std::optional<std::string> text = this->Text(field);
  if (!text.has_value()) {
    return std::nullopt;
  }
  std::int64_t value = 0;
  const char* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, value);
  const bool is_whole = parsed.ec == std::errc() && parsed.ptr == end;
  if (!is_whole || value < min || value > max) {
    this->Report(field,
                 absl::StrCat("'", *text, "' is not a whole number from ", min,
                              " to ", max));
    return std::nullopt;
  }
  return value;
}

std::optional<std::size_t> YamlReader::OneOf(
    const YamlField& field, std::span<const std::string_view> words) {
  const std::optional<std::string> text = this->Text(field);
  if (!text.has_value()) {
    return std::nullopt;
  }
  const auto found = std::find(words.begin(), words.end(), *text);
  if (found == words.end()) {
    this->Report(
        field,
        absl::StrCat("'", *text, "' is none of: ", detail::JoinWords(words)));
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - words.begin());
}

void YamlReader::Report(const YamlField& field, std::string_view message) {
  if (this->scope.workspace.empty()) {
    this->Add(field, std::string(message));
  } else if (UsesParameter(field)) {
    this->Add(field, std::string(message) + " (workspace " +
                         this->scope.workspace + ")");
  }
}

void YamlReader::ReportUnconditionally(const YamlField& field,
                                       std::string_view message) {
  this->Add(field, std::string(message));
}

void YamlReader::Add(const YamlField& field, const std::string& message) {
  TemplateProblem problem;
  if (field.IsPresent()) {
    problem.line = std::max(0, field.node.Mark().line + 1);
  }
  problem.field = field.path;
  problem.message = message;
  this->problems.push_back(std::move(problem));
}

std::vector<TemplateProblem> YamlReader::TakeProblems() {
  std::sort(this->problems.begin(), this->problems.end());
  const auto end = std::unique(this->problems.begin(), this->problems.end());
  this->problems.erase(end, this->problems.end());
  return std::move(this->problems);
}

std::optional<std::string> YamlReader::Substitute(const YamlField& field,
                                                  std::string_view text) {
  std::string result;
  bool has_all = true;
  std::size_t open = text.find("${");
  while (open != std::string_view::npos) {
    const std::size_t close = text.find('}', open);
    if (close == std::string_view::npos) {
      this->ReportUnconditionally(field, "'${' is not closed by '}'");
      return std::nullopt;
    }
    const std::string_view name = text.substr(open + 2, close - open - 2);
    if (!this->IsDeclared(name)) {
      // Reported without naming a workspace, as it applies to all of them.
      this->ReportUnconditionally(field,
                                  "parameter '" + std::string(name) +
                                      "' is not declared under 'parameters'");
      has_all = false;
    }
    const auto value = this->scope.values.find(name);
    has_all = has_all && value != this->scope.values.end();
    result += text.substr(0, open);
    result += has_all ? value->second : "";
    text.remove_prefix(close + 1);
    open = text.find("${");
  }
  result += text;
  return has_all ? std::optional<std::string>(result) : std::nullopt;
}

bool YamlReader::IsDeclared(std::string_view parameter) const {
  const std::vector<std::string>& declared = this->scope.declared;
  return std::find(declared.begin(), declared.end(), parameter) !=
         declared.end();
}

}  // namespace meadowthread
