#ifndef MEADOWTHREAD_SERVE_STEADY_CLOCK_H_
#define MEADOWTHREAD_SERVE_STEADY_CLOCK_H_

#include <cstdint>

#include "base/clock.h"

namespace meadowthread {

/// @brief A wall clock that takes the Unix time once at its creation and then
/// advances with the monotonic clock, so that adjustments of the system time do
/// not affect it.
class SteadyClock final : public Clock {
 public:
  SteadyClock()
      : offset_ms(this->system.WallMs() - this->system.MonotonicMs()) {}

  std::int64_t MonotonicMs() const override {
    return this->system.MonotonicMs();
  }
  std::int64_t WallMs() const override {
    return this->system.MonotonicMs() + this->offset_ms;
  }

 private:
  SystemClock system;
  std::int64_t offset_ms;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_STEADY_CLOCK_H_
