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

/// @brief What a host says of itself.
struct HostStatus {
  std::string host;
  std::string incarnation;
  bool ready = false;
  std::int64_t configuration_revision = 0;
  std::int64_t confirmed_unix_ms = 0;  ///< its configuration's freshness
  std::string confirmed_by;
  std::int64_t streams = 0;
  std::int64_t queued = 0;
  std::int64_t engines = 0;
  std::string mark;
  std::vector<std::string> stop_waits_for;

  friend bool operator==(const HostStatus&, const HostStatus&) = default;
};

/// @brief Reads a host's answer, or its status object; missing fields are 0.
/// @return kPeerMalformed where it is no JSON object
absl::StatusOr<HostStatus> ParseHostStatus(std::string_view host,
                                           std::string_view text);

/// @brief Where a host's row comes from.
enum class StatusSource {
  kHost,    ///< its own answer
  kObject,  ///< its status object, since it did not answer
  kNone,    ///< neither could be read
};

/// @brief One host's row.
struct StatusRow {
  HostStatus status;
  std::string zone;
  std::string listed;  ///< live, leaving, or not_listed
  StatusSource source = StatusSource::kNone;
  std::string trouble;  ///< why the host's own answer is missing
};

/// @brief Everything that `meadowthread status` tells.
struct StatusReport {
  std::vector<StatusRow> rows;     ///< by host
  std::vector<std::string> notes;  ///< what could not be read
  std::int64_t now_unix_ms = 0;

  std::string Text() const;
  nlohmann::ordered_json Json() const;
};

/// @brief Joins the host list, the hosts' answers and the status objects.
/// @param[in] hosts entry hosts
/// @param[in] replies one a host, in their order
/// @param[in] objects of kind `status`
StatusReport JoinStatuses(std::span<const HostEntry> hosts,
                          std::span<const HostReply> replies,
                          std::span<const StoredObject> objects,
                          std::int64_t now_unix_ms);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_STATUS_REPORT_H_
