#ifndef MEADOWTHREAD_POLICY_FIRST_ATTEMPT_TIME_ESTIMATOR_H_
#define MEADOWTHREAD_POLICY_FIRST_ATTEMPT_TIME_ESTIMATOR_H_

#include <cstdint>
#include <string_view>

#include "policy/string_map.h"

namespace meadowthread {

/// @brief Estimates how long ago a request's caller made its first attempt.
///
/// The latency of a request that was refused and retried is measured from its
/// first attempt, but each attempt is a separate request that states only how
/// long its caller still waits. If most callers of a route start with the same
/// time limit, the difference between that limit and the remaining time is the
/// time since the first attempt.
class FirstAttemptTimeEstimator {
 public:
  /// @brief Records a request's time limit and estimates its caller's elapsed
  /// time.
  /// @param[in] allowed_ms how long the caller still waits; 0: not given
  /// @return milliseconds since the caller's first attempt; 0 for a first
  /// attempt, or if the route's callers have no common time limit
  std::int64_t Elapsed(std::string_view route, std::int64_t allowed_ms);

 private:
  struct Route {
    std::int64_t longest_ms = 0;
    /// Decaying count of requests whose limit is about the longest one.
    double at_longest = 0.0;
    double total = 0.0;  ///< decaying count of requests

    double LongestShare() const { return this->at_longest / this->total; }
  };

  StringMap<Route> routes;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_FIRST_ATTEMPT_TIME_ESTIMATOR_H_
