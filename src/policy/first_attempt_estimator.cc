#include "policy/first_attempt_estimator.h"

#include <algorithm>

namespace meadowthread {
namespace {

// Attempts of one caller are further apart than this; equal limits differ only
// by rounding.
constexpr std::int64_t kToleranceMs = 20;
// Decay of the counts for each request: they cover about the last fifty.
constexpr double kDecay = 0.98;
// If a smaller share of the requests has the longest limit, it is not the
// common limit of first attempts. In a burst, up to half of the requests are
// second attempts.
constexpr double kMinLongestShare = 0.35;
// With fewer requests, nothing is known of the route's callers yet.
constexpr double kMinRequests = 4.5;
// After this many requests, a longest limit that few requests have is replaced.
constexpr double kReplaceAfter = 15.0;
// Limit on the routes remembered; enough for configurations of several hundred
// routes.
constexpr std::size_t kMaxRoutes = 4'096;

}  // namespace

std::int64_t FirstAttemptEstimator::Elapsed(std::string_view route,
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
