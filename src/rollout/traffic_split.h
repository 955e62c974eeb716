#ifndef MEADOWTHREAD_ROLLOUT_TRAFFIC_SPLIT_H_
#define MEADOWTHREAD_ROLLOUT_TRAFFIC_SPLIT_H_

#include <random>
#include <string>
#include <string_view>

#include "policy/string_map.h"

namespace meadowthread {

/// @brief Divides the requests of each route so that a given share of them
/// goes to one of two sides.
///
/// Every host divides its own requests, so that the share holds over all hosts
/// together, however many there are and whether or not they hear each other.
/// Each starts at a random point, so that hosts with few requests each don't
/// all send their first one to the same side.
class TrafficSplit {
 public:
  /// @param[in] random outlives this
  explicit TrafficSplit(std::mt19937_64& random) : random(random) {}

  /// @brief Whether the route's next request goes to the side with the share.
  /// @param[in] share from 0 to 1
  bool TakeShare(std::string_view route, double share);

 private:
  std::mt19937_64& random;
  StringMap<double> credits;  ///< by route, below 1
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ROLLOUT_TRAFFIC_SPLIT_H_
