#ifndef MEADOWTHREAD_STANDINS_HOSTLIST_HOST_HISTORY_H_
#define MEADOWTHREAD_STANDINS_HOSTLIST_HOST_HISTORY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"

namespace meadowthread::standins {

/// @brief The host list as it stood from a time on.
struct HostListVersion {
  std::int64_t since_ms = 0;
  nlohmann::json hosts = nlohmann::json::array();
};

/// @brief The host list over time; pure, time is an argument.
class HostHistory {
 public:
  /// @brief Puts a whole list in force.
  void Set(const nlohmann::json& hosts, std::int64_t now_ms);

  /// @brief The list as it stood at a time; empty before the first.
  HostListVersion At(std::int64_t as_of_ms) const;

 private:
  std::vector<HostListVersion> versions;
};

/// @brief Reads `{"hosts": [...]}` or a plain list; YAML or JSON.
/// @return the entries, or an error that names the entry and field at fault
absl::StatusOr<nlohmann::json> ParseHosts(std::string_view text);

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_HOSTLIST_HOST_HISTORY_H_
