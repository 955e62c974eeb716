#include "http/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace meadowthread::standins {
namespace {

constexpr double kMsPerSecond = 1000.0;

}  // namespace

// The bucket holds at least one token, so that a rate below one per second
// still allows the first call.
RateLimit::RateLimit(double per_second)
    : per_second(per_second), tokens(std::max(1.0, per_second)) {}

bool RateLimit::Take(std::int64_t now_ms) {
  if (this->per_second <= 0) {
    return true;
  }
  if (this->last_refill_ms == 0) {
    this->last_refill_ms = now_ms;
  }
  const double gained = static_cast<double>(now_ms - this->last_refill_ms) *
                        this->per_second / kMsPerSecond;
  this->tokens =
      std::min(this->tokens + gained, std::max(1.0, this->per_second));
  this->last_refill_ms = now_ms;
  if (this->tokens < 1.0) {
    return false;
  }
  this->tokens -= 1.0;
  return true;
}

std::int64_t RateLimit::WaitMs() const {
  if (this->per_second <= 0 || this->tokens >= 1.0) {
    return 0;
  }
  return static_cast<std::int64_t>(
      std::ceil((1.0 - this->tokens) * kMsPerSecond / this->per_second));
}

}  // namespace meadowthread::standins
