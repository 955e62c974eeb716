#include "policy/first_try.h"

#include <algorithm>

namespace meadowthread {
namespace {

// Two attempts of one caller lie further apart than this; the same limit told
// twice differs by rounding only.
constexpr std::int64_t kSameMs = 20;
// What is kept of the counts at each request: they are over some fifty.
constexpr double kKept = 0.98;
// Below this share of first attempts the time is not what callers of the route
// allow at first. In a crowd up to half of the requests are second attempts.
constexpr double kCommonShare = 0.35;
// A route's first requests say nothing of its callers yet.
constexpr double kLeastSeen = 4.5;
// After so many a time that few allow is dropped for another one.
constexpr double kEnough = 15.0;
// Routes remembered; a configuration of several hundred fits.
constexpr std::size_t kMostRoutes = 4'096;

}  // namespace

std::int64_t FirstTry::Elapsed(std::string_view route,
                               std::int64_t allowed_ms) {
  if (allowed_ms <= 0) {
    return 0;
  }
  if (this->routes.size() >= kMostRoutes && !this->routes.contains(route)) {
    this->routes.clear();
  }
  Route& known = this->routes[route];
  const bool is_dropped = known.all >= kEnough && known.Share() < kCommonShare;
  if (is_dropped || allowed_ms > known.longest_ms + kSameMs) {
    known = Route{allowed_ms, 0.0, 0.0};
  }
  const bool is_longest = allowed_ms + kSameMs >= known.longest_ms;
  known.all = known.all * kKept + 1.0;
  known.of_longest = known.of_longest * kKept + (is_longest ? 1.0 : 0.0);
  const bool is_known =
      known.all >= kLeastSeen && known.Share() >= kCommonShare;
  return is_longest || !is_known ? 0 : known.longest_ms - allowed_ms;
}

}  // namespace meadowthread
