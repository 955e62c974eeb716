#ifndef MEADOWTHREAD_SETTINGS_YAML_SECTION_H_
#define MEADOWTHREAD_SETTINGS_YAML_SECTION_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "settings/settings.h"

namespace meadowthread {

/// @brief Whether a field must be there.
enum class Presence { kRequired, kOptional };

/// @brief Reads the fields of one YAML map and gathers what is wrong.
///
/// A field that is missing or wrong leaves its target as it was. Call Finish
/// last: keys that no call asked for are problems.
class YamlSection {
 public:
  /// @param[in] node a map; null reads as an empty map
  /// @param[in] path dotted path of the map, empty for the document
  /// @param[in] problems outlives the section
  YamlSection(const YAML::Node& node, std::string_view path,
              std::vector<SettingsProblem>* problems);

  /// @name fields
  ///@{
  void Integer(std::string_view name, std::int64_t min, std::int64_t max,
               std::int64_t* target);
  void Integer(std::string_view name, int min, int max, int* target,
               Presence presence = Presence::kOptional);
  void Number(std::string_view name, double min, double max, double* target);
  void Flag(std::string_view name, bool* target);
  /// @brief A short name: letters, digits, `.`, `_` and `-`.
  void Name(std::string_view name, std::string* target,
            Presence presence = Presence::kOptional);
  /// @brief An http or https URL without a user or password; a slash at its
  /// end is dropped.
  void Url(std::string_view name, std::string* target,
           Presence presence = Presence::kOptional);
  /// @brief An IP number.
  void Address(std::string_view name, std::string* target, Presence presence);
  /// @brief An IP number and a port, "192.0.2.7:8740".
  void Endpoint(std::string_view name, std::string* address, int* port,
                Presence presence);
  /// @brief The path of a file.
  void File(std::string_view name, std::string* target);
  /// @brief One of `names`.
  /// @return its index, -1 where the field is missing or wrong
  int Choice(std::string_view name, std::span<const std::string> names);
  ///@}

  /// @name nesting
  ///@{
  /// @brief A map within; empty where it is missing.
  YamlSection Section(std::string_view name);
  /// @brief A list of maps; `read` is given each.
  void List(std::string_view name,
            const std::function<void(YamlSection&)>& read);
  ///@}

  /// @brief Reports a problem of a field, at its line where it is there.
  void Report(std::string_view name, std::string_view message);

  /// @brief Reports duplicate keys and keys that were never asked for.
  void Finish();

 private:
  /// The text of a scalar field; null where it is missing or no scalar.
  const std::string* Scalar(std::string_view name, Presence presence);
  YAML::Node Find(std::string_view name);
  std::string PathOf(std::string_view name) const;
  void ReportUnknown(const YAML::Node& key);
  void ReportAt(const YAML::Node& node, std::string_view name,
                std::string_view message);

  YAML::Node map;
  std::string path;
  std::vector<SettingsProblem>* problems;
  std::vector<std::string> known;
  std::string scalar;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SETTINGS_YAML_SECTION_H_
