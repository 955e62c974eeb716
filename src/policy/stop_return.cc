#include "policy/stop_return.h"

#include <algorithm>

namespace meadowthread {
namespace {

// Another host is a new connection away.
constexpr std::int64_t kSoonMs = 20;
// A host that is back is asked within a second, and its answer is heeded soon.
constexpr std::int64_t kNoticedBackMs = 1'300;

// When at least half of the hosts take requests; all of them do where there
// are none.
std::int64_t HalfBackInMs(std::vector<std::int64_t> back_in_ms) {
  if (back_in_ms.empty()) {
    return 0;
  }
  std::sort(back_in_ms.begin(), back_in_ms.end());
  const std::size_t half = (back_in_ms.size() + 1) / 2;
  return back_in_ms[half - 1];
}

}  // namespace

std::int64_t ReturnAfterStopMs(std::string_view zone,
                               const std::vector<HostAway>& hosts,
                               std::int64_t noticed_in_ms) {
  std::vector<std::int64_t> here;
  std::vector<std::int64_t> elsewhere;
  for (const HostAway& host : hosts) {
    (host.zone == zone ? here : elsewhere).push_back(host.back_in_ms);
  }
  const auto takes = [](std::int64_t back_in_ms) { return back_in_ms == 0; };
  const bool none_here = std::none_of(here.begin(), here.end(), takes);
  const std::int64_t here_ms = HalfBackInMs(here);
  if (here_ms == 0) {
    return kSoonMs;
  }
  if (none_here && !elsewhere.empty() && HalfBackInMs(elsewhere) == 0) {
    return std::max(kSoonMs, noticed_in_ms);
  }
  return here_ms + kNoticedBackMs;
}

}  // namespace meadowthread
