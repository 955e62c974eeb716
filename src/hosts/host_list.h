#ifndef MEADOWTHREAD_HOSTS_HOST_LIST_H_
#define MEADOWTHREAD_HOSTS_HOST_LIST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief What a host is for.
enum class HostRole { kEntry, kEngine, kBackend };

/// @brief One line of the platform's host list.
struct HostEntry {
  std::string name;
  HostRole role = HostRole::kEntry;
  std::string address;  ///< an IP number
  int port = 0;
  int control_port = 0;  ///< entry hosts only
  std::string zone;
  std::string region;
  bool leaving = false;
  bool checks_fence = false;  ///< engines: refuses old fencing numbers
  std::string service;        ///< backends: the plain service it belongs to

  /// @brief "ADDRESS:PORT".
  std::string Authority() const;
  /// @brief "http://ADDRESS:PORT".
  std::string BaseUrl() const;
  /// @brief As BaseUrl, with the control port.
  std::string ControlUrl() const;
};

/// @brief The host list as of some time; it lags.
struct HostList {
  std::int64_t as_of_unix_ms = 0;
  std::vector<HostEntry> hosts;
  int passed_over = 0;           ///< entries that name no host to use
  std::string first_fault = {};  ///< of the first of them, with its field
};

/// @brief Reads the platform's answer; an error names the field.
///
/// An entry that can't be read, or names a role that isn't known, is passed
/// over; a list of nothing else is none.
absl::StatusOr<HostList> DecodeHostList(std::string_view body);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_HOSTS_HOST_LIST_H_
