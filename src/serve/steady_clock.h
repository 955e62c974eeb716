#ifndef MEADOWTHREAD_SERVE_STEADY_CLOCK_H_
#define MEADOWTHREAD_SERVE_STEADY_CLOCK_H_

#include <cstdint>

#include "base/clock.h"

namespace meadowthread {

/// @brief Unix time as it stood at the start, moved on by the steady clock: a
/// host whose time of day is set anew keeps its own count.
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
