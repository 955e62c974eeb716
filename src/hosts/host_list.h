#ifndef MEADOWTHREAD_HOSTS_HOST_LIST_H_
#define MEADOWTHREAD_HOSTS_HOST_LIST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief The kinds of entries in the host list.
enum class HostRole {
  kEntry,   ///< a host of this system, which callers connect to
  kEngine,  ///< a model engine
  kBackend  ///< a server of a plain service
};

/// @brief One entry of the platform's host list.
struct HostEntry {
  std::string name;
  HostRole role = HostRole::kEntry;
  std::string address;  ///< IP address
  int port = 0;
  int control_port = 0;  ///< entry hosts only
  std::string zone;
  std::string region;
  bool leaving = false;       ///< listed with a state other than "live"
  bool checks_fence = false;  ///< engines: refuses stale fencing tokens
  std::string service;        ///< backends: the service that it serves

  /// @brief "ADDRESS:PORT".
  std::string Authority() const;
  /// @brief "http://ADDRESS:PORT".
  std::string BaseUrl() const;
  /// @brief "http://ADDRESS:CONTROL_PORT".
  std::string ControlUrl() const;
};

/// @brief The host list at a point in time; it may be out of date.
struct HostList {
  std::int64_t as_of_unix_ms = 0;
  std::vector<HostEntry> hosts;
  int skipped_entries = 0;  ///< number of invalid entries, left out
  /// Error of the first invalid entry; names the field.
  std::string first_error = {};
};

/// @brief Decodes the platform's JSON answer; an error names the invalid field.
///
/// An entry that is invalid or has an unknown role is skipped. If all entries
/// are skipped, the result is an error.
absl::StatusOr<HostList> DecodeHostList(std::string_view body);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_HOSTS_HOST_LIST_H_
