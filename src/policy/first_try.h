#ifndef MEADOWTHREAD_POLICY_FIRST_TRY_H_
#define MEADOWTHREAD_POLICY_FIRST_TRY_H_

#include <cstdint>
#include <string_view>

#include "policy/string_map.h"

namespace meadowthread {

/// @brief Tells how long ago a request's caller asked for the first time.
///
/// Each attempt is a request of its own and says only how long its caller still
/// waits. Where most callers of a route allow the same time at first, what is
/// missing from it has passed since then. Answers the load pattern "those who
/// were refused come back": their answer counts from their first attempt.
class FirstTry {
 public:
  /// @brief Takes a request's time into account.
  /// @param[in] allowed_ms its caller waits this long; 0: not told
  /// @return milliseconds since its caller's first attempt; 0 for a first one,
  /// and where the route's callers allow no common time
  std::int64_t Elapsed(std::string_view route, std::int64_t allowed_ms);

 private:
  struct Route {
    std::int64_t longest_ms = 0;
    double of_longest = 0.0;  ///< requests lately that allow about that
    double all = 0.0;         ///< requests lately

    double Share() const { return this->of_longest / this->all; }
  };

  StringMap<Route> routes;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_FIRST_TRY_H_
