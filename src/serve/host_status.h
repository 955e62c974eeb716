#ifndef MEADOWTHREAD_SERVE_HOST_STATUS_H_
#define MEADOWTHREAD_SERVE_HOST_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "configuration/marks.h"
#include "configuration/service_catalog.h"
#include "gateway/gateway.h"

namespace meadowthread {

/// @brief The status that an entry host reports.
struct HostStatus {
  std::string host;
  std::int64_t incarnation = 0;
  absl::Status ready;
  std::int64_t configuration_revision = 0;  ///< of the newest template change
  ViewDigest templates;
  std::size_t streams = 0;
  std::size_t queued = 0;
  HostMark mark = HostMark::kLive;
  std::vector<RunningRequest> stop_waits_for;  ///< empty unless stopping
  std::size_t engines = 0;
  int engines_usable = 0;
  std::vector<CatalogProblem> problems;
};

/// @brief The response body of `/statusz` (docs/INTERFACES.md, section 6).
std::string HostStatusJson(const HostStatus& status);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_HOST_STATUS_H_
