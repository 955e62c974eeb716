#ifndef MEADOWTHREAD_BASE_CLOCK_H_
#define MEADOWTHREAD_BASE_CLOCK_H_

#include <cstdint>

namespace meadowthread {

/// @brief Where time comes from; tests give their own.
class Clock {
 public:
  virtual ~Clock() = default;

  /// @brief Milliseconds of a clock that never goes back.
  virtual std::int64_t MonotonicMs() const = 0;

  /// @brief Milliseconds since the Unix epoch.
  virtual std::int64_t WallMs() const = 0;
};

/// @brief The machine's clocks.
class SystemClock final : public Clock {
 public:
  std::int64_t MonotonicMs() const override;
  std::int64_t WallMs() const override;
};

/// @brief A clock that moves only when told to.
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
