#include "base/clock.h"

#include <chrono>

namespace meadowthread {
namespace {

template <class ClockType>
std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             ClockType::now().time_since_epoch())
      .count();
}

}  // namespace

std::int64_t SystemClock::MonotonicMs() const {
  return NowMs<std::chrono::steady_clock>();
}

std::int64_t SystemClock::WallMs() const {
  return NowMs<std::chrono::system_clock>();
}

}  // namespace meadowthread
