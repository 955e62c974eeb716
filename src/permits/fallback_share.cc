#include "permits/fallback_share.h"

#include <algorithm>

#include "permits/permit_bucket.h"

namespace meadowthread {
namespace {

constexpr double kMsPerSecond = 1'000.0;
// Part of the rate that hosts without an answer share. The hosts that grant
// permits may be serving others at more than the full rate meanwhile, and a
// server bears half more than it names.
constexpr double kSharedPart = 0.2;

}  // namespace

// A permit that was due long ago is not kept: all hosts may lose the host that
// grants permits at the same moment.
PermitDecision FallbackShare::Take(double per_s, std::size_t hosts,
                                   std::int64_t now_ms) {
  const double period =
      static_cast<double>(hosts) * kMsPerSecond / (kSharedPart * per_s);
  const auto period_ms = static_cast<std::int64_t>(period);
  if (this->next_ms < 0 || now_ms - this->next_ms > period_ms) {
    this->next_ms = now_ms + static_cast<std::int64_t>(this->position * period);
  }
  if (now_ms >= this->next_ms) {
    this->next_ms = now_ms + period_ms;
    return {true, 0};
  }
  return {false, std::clamp<std::int64_t>(this->next_ms - now_ms, 1,
                                          kMaxPermitRetryMs)};
}

}  // namespace meadowthread
