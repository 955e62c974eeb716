#ifndef MEADOWTHREAD_STANDINS_HTTP_RATE_LIMIT_H_
#define MEADOWTHREAD_STANDINS_HTTP_RATE_LIMIT_H_

#include <cstdint>

namespace meadowthread::standins {

/// @brief A token bucket that holds the tokens of one second.
class RateLimit {
 public:
  /// @param[in] per_second 0: no limit
  explicit RateLimit(double per_second);

  /// @brief Takes a token if there is one.
  /// @param[in] now_ms time in milliseconds; must not go back
  /// @return whether a token was taken
  bool Take(std::int64_t now_ms);

  /// @brief Milliseconds until the next token, as of the last `Take`.
  std::int64_t WaitMs() const;

 private:
  double per_second;
  double tokens;
  std::int64_t last_refill_ms = 0;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_HTTP_RATE_LIMIT_H_
