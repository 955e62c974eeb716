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

/// @brief A template's declared parameters and the values that the current
/// workspace gives them.
struct ParameterScope {
  std::vector<std::string> declared;
  std::map<std::string, std::string, std::less<>> values;
  std::string workspace;  ///< empty: none, nothing is substituted
};

/// @brief A YAML node with its path in the document.
struct YamlField {
  YAML::Node node;
  std::string path;

  bool IsPresent() const { return this->node.IsDefined(); }
};

/// @brief Reads YAML fields and collects all problems, without duplicates.
///
/// The read functions return an empty optional for an invalid field, which is
/// reported, and for one that depends on a parameter without a value.
class YamlReader {
 public:
  explicit YamlReader(ParameterScope scope) : scope(std::move(scope)) {}

  /// @brief Reports a node that is not a map, and unknown or duplicate keys.
  /// @return whether the node is a map
  bool CheckMap(const YamlField& field,
                std::span<const std::string_view> known);

  /// @brief The items of a sequence; none if the node is missing. Reports a
  /// node that is not a sequence.
  std::vector<YamlField> Items(const YamlField& field);

  /// @brief A member of a map; undefined if the map doesn't have it.
  YamlField Member(const YamlField& map, std::string_view key) const;

  /// @brief As Member, but reports a missing member.
  YamlField RequiredMember(const YamlField& map, std::string_view key);

  /// @brief A scalar's text, without parameter substitution.
  std::optional<std::string> RawText(const YamlField& field);

  /// @brief A scalar's text with parameters substituted.
  std::optional<std::string> Text(const YamlField& field);

  /// @brief A number in [min, max].
  std::optional<double> Number(const YamlField& field, double min, double max);

  /// @brief An integer in [min, max].
  std::optional<std::int64_t> Integer(const YamlField& field, std::int64_t min,
                                      std::int64_t max);

  /// @brief Reads one of the given words.
  /// @return its index in `words`
  std::optional<std::size_t> OneOf(const YamlField& field,
                                   std::span<const std::string_view> words);

  /// @brief Reports a problem. With a workspace in scope, only for fields that
  /// use parameters: the others were reported in the pass without a workspace.
  void Report(const YamlField& field, std::string_view message);

  /// @brief Reports a problem whether or not the field uses parameters, such as
  /// one found only after substitution.
  void ReportUnconditionally(const YamlField& field, std::string_view message);

  /// @brief Sets the parameters, and the workspace if any, for later reads.
  void SetScope(ParameterScope new_scope) {
    this->scope = std::move(new_scope);
  }

  /// @brief Moves out all problems, sorted by line and without duplicates.
  std::vector<TemplateProblem> TakeProblems();

 private:
  void Add(const YamlField& field, const std::string& message);
  std::optional<std::string> Substitute(const YamlField& field,
                                        std::string_view text);
  bool IsDeclared(std::string_view parameter) const;

  ParameterScope scope;
  std::vector<TemplateProblem> problems;
};

namespace detail {

/// @brief Joins words with commas: `a, b, c`.
std::string JoinWords(std::span<const std::string_view> words);

}  // namespace detail
}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_YAML_READER_H_
