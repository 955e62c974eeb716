#ifndef MEADOWTHREAD_POLICY_STOP_RETURN_H_
#define MEADOWTHREAD_POLICY_STOP_RETURN_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace meadowthread {

/// @brief One entry host, as far as a stopping one knows.
struct HostAway {
  std::string zone;
  std::int64_t back_in_ms = 0;  ///< takes requests again then; 0: it does now
};

/// @brief When a request that a stopping host refuses should come back,
/// milliseconds from now.
///
/// Answers the load pattern "hosts are restarted one after the other, each
/// before the last is back": sent away at once, a caller finds the next host
/// that stops, and its only further attempt is gone. The balancer sends callers
/// to the hosts of their zone that are ready, to all of them while fewer than
/// half are, and to other zones while none is.
/// @param[in] zone the stopping host's
/// @param[in] hosts all entry hosts, the stopping one included
/// @param[in] noticed_in_ms the balancer has noticed this host's stop by then
std::int64_t ReturnAfterStopMs(std::string_view zone,
                               const std::vector<HostAway>& hosts,
                               std::int64_t noticed_in_ms);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_STOP_RETURN_H_
