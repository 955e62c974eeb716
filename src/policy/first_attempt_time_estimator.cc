#include "policy/first_attempt_time_estimator.h"

#include <algorithm>

namespace meadowthread {
namespace {

// Time limits that differ by at most this count as equal: rounding makes them
// differ by less, and the attempts of one caller are further apart.
constexpr std::int64_t kToleranceMs = 20;
// Factor applied to the counts at each request, so that they cover about the
// last fifty requests.
constexpr double kDecay = 0.98;
// If a smaller fraction of a route's requests has the longest limit, that limit
// is not the common one of first attempts. The fraction is below a half because
// in a burst up to half of the requests are second attempts.
constexpr double kMinLongestShare = 0.35;
// With a lower count of requests, too little is known about the route's callers
// for an estimate.
constexpr double kMinRequests = 4.5;
// Once this many requests are counted, a longest limit that too few of them
// have (kMinLongestShare) is replaced by the current request's limit.
constexpr double kReplaceAfter = 15.0;
// Maximum number of routes remembered; enough for configurations of several
// hundred routes.
constexpr std::size_t kMaxRoutes = 4'096;

}  // namespace

std::int64_t FirstAttemptTimeEstimator::Elapsed(std::string_view route,
                                                std::int64_t allowed_ms) {
  if (allowed_ms <= 0) {
    return 0;
  }
  if (this->routes.size() >= kMaxRoutes && !this->routes.contains(route)) {
    this->routes.clear();
  }
  Route& stats = this->routes[route];
  const bool is_replaced =
      stats.total >= kReplaceAfter && stats.LongestShare() < kMinLongestShare;
  if (is_replaced || allowed_ms > stats.longest_ms + kToleranceMs) {
    stats = Route{allowed_ms, 0.0, 0.0};
  }
  const bool is_longest = allowed_ms + kToleranceMs >= stats.longest_ms;
  stats.total = stats.total * kDecay + 1.0;
  stats.at_longest = stats.at_longest * kDecay + (is_longest ? 1.0 : 0.0);
  const bool is_reliable =
      stats.total >= kMinRequests && stats.LongestShare() >= kMinLongestShare;
  return is_longest || !is_reliable ? 0 : stats.longest_ms - allowed_ms;
}

}  // namespace meadowthread
