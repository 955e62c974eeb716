#ifndef MEADOWTHREAD_STANDINS_HTTP_STANDIN_CLOCK_H_
#define MEADOWTHREAD_STANDINS_HTTP_STANDIN_CLOCK_H_

#include "base/clock.h"

namespace meadowthread::standins {

/// @brief Unix time that never goes back: the wall clock at construction,
/// advanced by the monotonic clock.
class StandinClock {
 public:
  StandinClock()
      : offset_ms(this->clock.WallMs() - this->clock.MonotonicMs()) {}

  /// @brief Milliseconds since the Unix epoch.
  std::int64_t NowMs() const {
    return this->clock.MonotonicMs() + this->offset_ms;
  }

 private:
  SystemClock clock;
  std::int64_t offset_ms;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_HTTP_STANDIN_CLOCK_H_
