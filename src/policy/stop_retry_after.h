#ifndef MEADOWTHREAD_POLICY_STOP_RETRY_AFTER_H_
#define MEADOWTHREAD_POLICY_STOP_RETRY_AFTER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace meadowthread {

/// @brief Zone of a host, and when it accepts requests again as far as a
/// stopping host knows.
struct HostAvailability {
  std::string zone;
  /// Time until it accepts requests; 0: it does now.
  std::int64_t back_in_ms = 0;
};

/// @brief The Retry-After time of a request that a stopping host refuses, in
/// milliseconds.
///
/// Guards against repeated refusals during a rolling restart in which each host
/// stops before the previous one is back: a caller that retries at once may
/// reach the host that stops next, and has no attempt left after that. The load
/// balancer sends callers to the ready hosts of their zone, to all hosts of the
/// zone if fewer than half are ready, and to other zones if none is ready.
/// @param[in] zone the stopping host's zone
/// @param[in] hosts all hosts, including the stopping one
/// @param[in] noticed_in_ms time until the load balancer has noticed the stop
std::int64_t RetryAfterStopMs(std::string_view zone,
                              const std::vector<HostAvailability>& hosts,
                              std::int64_t noticed_in_ms);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_STOP_RETRY_AFTER_H_
