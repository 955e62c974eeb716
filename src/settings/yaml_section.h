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

/// @brief Whether a field must be present.
enum class Presence { kRequired, kOptional };

/// @brief Reads the fields of one YAML map and collects problems.
///
/// A missing or invalid field leaves its target unchanged. Call Finish last: it
/// reports all keys that were not read.
class YamlSection {
 public:
  /// @param[in] node a map; null counts as an empty map
  /// @param[in] path dotted path of the map, empty for the document
  /// @param[in] problems must outlive the section
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
  /// @brief An http or https URL without user or password; a trailing slash is
  /// removed.
  void Url(std::string_view name, std::string* target,
           Presence presence = Presence::kOptional);
  /// @brief An IPv4 or IPv6 address.
  void Address(std::string_view name, std::string* target, Presence presence);
  /// @brief An IP address and a port, such as "192.0.2.7:8740".
  void Endpoint(std::string_view name, std::string* address, int* port,
                Presence presence);
  /// @brief The path of a file.
  void File(std::string_view name, std::string* target);
  /// @brief One of `names`.
  /// @return its index, -1 if the field is missing or invalid
  int Choice(std::string_view name, std::span<const std::string> names);
  ///@}

  /// @name nesting
  ///@{
  /// @brief A nested map; empty if it is missing.
  YamlSection Section(std::string_view name);
  /// @brief A list of maps; calls `read` with each.
  void List(std::string_view name,
            const std::function<void(YamlSection&)>& read);
  ///@}

  /// @brief Reports a problem of a field, at the line of the field or, if it is
  /// missing, of the map.
  void Report(std::string_view name, std::string_view message);

  /// @brief Reports duplicate keys and keys that were not read.
  void Finish();

 private:
  /// The text of a scalar field; null if it is missing or not a scalar.
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
