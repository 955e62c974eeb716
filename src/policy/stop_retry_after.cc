#include "policy/stop_retry_after.h"

#include <algorithm>

namespace meadowthread {
namespace {

// Retry-After if another host accepts requests now: enough to open a new
// connection to it.
constexpr std::int64_t kOtherHostRetryMs = 20;
// Time until the load balancer sends requests to a host that is back: it checks
// the host within a second and acts on the result soon after.
constexpr std::int64_t kReturnNoticedMs = 1'300;

// The time until at least half of the hosts accept requests; 0 if there are no
// hosts.
std::int64_t TimeUntilHalfServingMs(std::vector<std::int64_t> back_in_ms) {
  if (back_in_ms.empty()) {
    return 0;
  }
  std::sort(back_in_ms.begin(), back_in_ms.end());
  const std::size_t half = (back_in_ms.size() + 1) / 2;
  return back_in_ms[half - 1];
}

}  // namespace

std::int64_t RetryAfterStopMs(std::string_view zone,
                              const std::vector<HostAvailability>& hosts,
                              std::int64_t noticed_in_ms) {
  std::vector<std::int64_t> same_zone;
  std::vector<std::int64_t> other_zones;
  for (const HostAvailability& host : hosts) {
    (host.zone == zone ? same_zone : other_zones).push_back(host.back_in_ms);
  }
  const auto is_serving = [](std::int64_t back_in_ms) {
    return back_in_ms == 0;
  };
  const bool none_in_zone =
      std::none_of(same_zone.begin(), same_zone.end(), is_serving);
  const std::int64_t zone_ms = TimeUntilHalfServingMs(same_zone);
  if (zone_ms == 0) {
    return kOtherHostRetryMs;
  }
  if (none_in_zone && !other_zones.empty() &&
      TimeUntilHalfServingMs(other_zones) == 0) {
    return std::max(kOtherHostRetryMs, noticed_in_ms);
  }
  return zone_ms + kReturnNoticedMs;
}

}  // namespace meadowthread
