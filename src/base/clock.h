#ifndef MEADOWTHREAD_BASE_CLOCK_H_
#define MEADOWTHREAD_BASE_CLOCK_H_

#include <cstdint>

namespace meadowthread {

/// @brief Source of the current time; tests substitute a ManualClock.
class Clock {
 public:
  virtual ~Clock() = default;

  /// @brief Milliseconds of a monotonic clock.
  virtual std::int64_t MonotonicMs() const = 0;

  /// @brief Milliseconds since the Unix epoch.
  virtual std::int64_t WallMs() const = 0;
};

/// @brief Reads the clocks of the operating system.
class SystemClock final : public Clock {
 public:
  std::int64_t MonotonicMs() const override;
  std::int64_t WallMs() const override;
};

/// @brief A clock for tests that moves only through Advance.
class ManualClock final : public Clock {
 public:
  explicit ManualClock(std::int64_t start_ms) : now_ms(start_ms) {}

  std::int64_t MonotonicMs() const override { return this->now_ms; }
  std::int64_t WallMs() const override { return this->now_ms; }

  /// @brief Moves the clock forward.
  /// @param[in] by_ms milliseconds, not negative
  void Advance(std::int64_t by_ms) { this->now_ms += by_ms; }

 private:
  std::int64_t now_ms;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_CLOCK_H_
