#ifndef MEADOWTHREAD_STANDINS_HOSTLIST_HOST_HISTORY_H_
#define MEADOWTHREAD_STANDINS_HOSTLIST_HOST_HISTORY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"

namespace meadowthread::standins {

/// @brief A version of the host list and when it became valid.
struct HostListVersion {
  std::int64_t since_ms = 0;
  nlohmann::json hosts = nlohmann::json::array();
};

/// @brief All versions of the host list; does no I/O, time is an argument.
class HostHistory {
 public:
  /// @brief Replaces the list.
  void Set(const nlohmann::json& hosts, std::int64_t now_ms);

  /// @brief The list that was valid at a time; empty before the first.
  HostListVersion At(std::int64_t as_of_ms) const;

 private:
  std::vector<HostListVersion> versions;
};

/// @brief Parses `{"hosts": [...]}` or a plain list, in YAML or JSON.
/// @return the entries, or an error that names the invalid entry and field
absl::StatusOr<nlohmann::json> ParseHosts(std::string_view text);

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_HOSTLIST_HOST_HISTORY_H_
