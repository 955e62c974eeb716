#ifndef MEADOWTHREAD_STANDINS_HTTP_RATE_LIMIT_H_
#define MEADOWTHREAD_STANDINS_HTTP_RATE_LIMIT_H_

#include <cstdint>

namespace meadowthread::standins {

/// @brief A token bucket that holds up to one second's worth.
class RateLimit {
 public:
  /// @param[in] per_second 0: no limit
  explicit RateLimit(double per_second);

  /// @brief Takes one where there is one.
  /// @param[in] now_ms milliseconds, never going back
  bool Take(std::int64_t now_ms);

  /// @brief Milliseconds until the next one is there.
  std::int64_t WaitMs() const;

 private:
  double per_second;
  double level;
  std::int64_t filled_ms = 0;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_HTTP_RATE_LIMIT_H_
