#ifndef MEADOWTHREAD_CONFIGURATION_YAML_READER_H_
#define MEADOWTHREAD_CONFIGURATION_YAML_READER_H_

#include <yaml-cpp/yaml.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/template_problem.h"

namespace meadowthread {

/// @brief A template's parameters and, where one workspace is looked at, its
/// values.
struct ParameterScope {
  std::vector<std::string> declared;
  std::map<std::string, std::string, std::less<>> values;
  std::string workspace;  ///< empty: no workspace, so nothing is filled in
};

/// @brief A node with its field name.
struct YamlField {
  YAML::Node node;
  std::string path;

  bool IsThere() const { return this->node.IsDefined(); }
};

/// @brief Reads YAML fields and gathers all problems, each once.
///
/// Readers return an empty optional both for what is faulty, which is then
/// reported, and for what depends on a parameter without a value.
class YamlReader {
 public:
  explicit YamlReader(ParameterScope scope) : scope(std::move(scope)) {}

  /// @brief Reports that a node is not a map, and keys that are unknown or
  /// stand twice.
  /// @return whether it is a map
  bool CheckMap(const YamlField& field,
                std::span<const std::string_view> known);

  /// @brief Reports a node that is there and not a sequence.
  std::vector<YamlField> Items(const YamlField& field);

  /// @brief A member of a map; not there where the map lacks it.
  YamlField Member(const YamlField& map, std::string_view key) const;

  /// @brief As Member, but reports one that is missing.
  YamlField RequiredMember(const YamlField& map, std::string_view key);

  /// @brief A scalar's text as it stands.
  std::optional<std::string> RawText(const YamlField& field);

  /// @brief A scalar's text, its parameters filled in.
  std::optional<std::string> Text(const YamlField& field);

  /// @brief A number within bounds.
  std::optional<double> Number(const YamlField& field, double least,
                               double most);

  /// @brief A whole number within bounds.
  std::optional<std::int64_t> Integer(const YamlField& field,
                                      std::int64_t least, std::int64_t most);

  /// @brief One of the given words.
  /// @return its index
  std::optional<std::size_t> OneOf(const YamlField& field,
                                   std::span<const std::string_view> words);

  /// @brief Reports a fault. While a workspace is looked at, only of values
  /// that depend on its parameters: the others were reported without it.
  void Report(const YamlField& field, std::string_view message);

  /// @brief Reports a fault that shows only once parameters are filled in.
  void ReportFilledIn(const YamlField& field, std::string_view message);

  /// @brief Looks at a workspace, or at none.
  void SetScope(ParameterScope new_scope) {
    this->scope = std::move(new_scope);
  }

  /// @brief All problems, sorted by line, none twice.
  std::vector<TemplateProblem> TakeProblems();

 private:
  void Add(const YamlField& field, const std::string& message);
  std::optional<std::string> FillIn(const YamlField& field,
                                    std::string_view text);
  bool IsDeclared(std::string_view parameter) const;

  ParameterScope scope;
  std::vector<TemplateProblem> problems;
};

namespace detail {

/// @brief Joins words as `a, b, c`.
std::string JoinWords(std::span<const std::string_view> words);

}  // namespace detail
}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_YAML_READER_H_
