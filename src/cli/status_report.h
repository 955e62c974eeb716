#ifndef MEADOWTHREAD_CLI_STATUS_REPORT_H_
#define MEADOWTHREAD_CLI_STATUS_REPORT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "cli/platform.h"
#include "nlohmann/json.hpp"

namespace meadowthread {

/// @brief The kind of the hosts' status objects.
inline constexpr std::string_view kStatusObjects = "status";

/// @brief The state that a host reports about itself.
struct HostStatus {
  std::string host;
  std::string incarnation;
  bool ready = false;
  std::int64_t configuration_revision = 0;
  std::int64_t confirmed_unix_ms =
      0;  ///< when its configuration was last confirmed
  std::string confirmed_by;
  std::int64_t streams = 0;
  std::int64_t queued = 0;
  std::int64_t engines = 0;
  std::string mark;
  std::vector<std::string> stop_waits_for;

  friend bool operator==(const HostStatus&, const HostStatus&) = default;
};

/// @brief Parses a host's /statusz response or its status object; missing
/// fields are 0 or empty.
/// @return kMalformedRequest if the text is not a JSON object
absl::StatusOr<HostStatus> ParseHostStatus(std::string_view host,
                                           std::string_view text);

/// @brief The source of a host's row.
enum class StatusSource {
  kHost,    ///< the host's own response
  kObject,  ///< its status object, as the host did not answer
  kNone,    ///< neither was available
};

/// @brief The table row of one host.
struct StatusRow {
  HostStatus status;
  std::string zone;
  std::string listed;  ///< "live", "leaving" or "not_listed"
  StatusSource source = StatusSource::kNone;
  std::string failure;  ///< why the host's own response is missing
};

/// @brief The contents of the output of `meadowthread status`.
struct StatusReport {
  std::vector<StatusRow> rows;     ///< sorted by host
  std::vector<std::string> notes;  ///< sources that could not be read
  std::int64_t now_unix_ms = 0;

  std::string Text() const;
  nlohmann::ordered_json Json() const;
};

/// @brief Combines the host list, the hosts' replies and the status objects.
/// @param[in] hosts entry hosts
/// @param[in] replies one per host, in the order of `hosts`
/// @param[in] objects of kind `status`
StatusReport JoinStatuses(std::span<const HostEntry> hosts,
                          std::span<const HostReply> replies,
                          std::span<const StoredObject> objects,
                          std::int64_t now_unix_ms);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_STATUS_REPORT_H_
