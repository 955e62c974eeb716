#include "http/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace meadowthread::standins {
namespace {

constexpr double kMsPerSecond = 1000.0;

}  // namespace

// A rate below one a second still lets a first one through.
RateLimit::RateLimit(double per_second)
    : per_second(per_second), level(std::max(1.0, per_second)) {}

bool RateLimit::Take(std::int64_t now_ms) {
  if (this->per_second <= 0) {
    return true;
  }
  if (this->filled_ms == 0) {
    this->filled_ms = now_ms;
  }
  const double gained = static_cast<double>(now_ms - this->filled_ms) *
                        this->per_second / kMsPerSecond;
  this->level = std::min(this->level + gained, std::max(1.0, this->per_second));
  this->filled_ms = now_ms;
  if (this->level < 1.0) {
    return false;
  }
  this->level -= 1.0;
  return true;
}

std::int64_t RateLimit::WaitMs() const {
  if (this->per_second <= 0 || this->level >= 1.0) {
    return 0;
  }
  return static_cast<std::int64_t>(
      std::ceil((1.0 - this->level) * kMsPerSecond / this->per_second));
}

}  // namespace meadowthread::standins
