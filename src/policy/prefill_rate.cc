#include "policy/prefill_rate.h"

#include <algorithm>

namespace meadowthread {
namespace {

// Weight of one stream in the moving average. High enough to follow engines
// that change speed within seconds, as a host sees several first events per
// second.
constexpr double kSmoothing = 0.1;
// Streams with fewer tokens to prefill are ignored, because connection setup
// and the first decode step take longer than the prefill.
constexpr std::int64_t kMinTokens = 500;
// Limits the effect of a single stream that was preempted or whose engine hung:
// its rate counts as at most this multiple of the current average.
constexpr double kMaxOutlierFactor = 3.0;
// Limits of the estimate: an engine that prefills 50 tokens per millisecond and
// one that prefills one.
constexpr double kMinMsPerToken = 0.02;
constexpr double kMaxMsPerToken = 1.0;

}  // namespace

void PrefillRate::Observe(std::int64_t tokens, std::int64_t took_ms) {
  if (tokens < kMinTokens) {
    return;
  }
  const double observed =
      std::min(static_cast<double>(took_ms) / static_cast<double>(tokens),
               kMaxOutlierFactor * this->ms_per_token);
  this->ms_per_token = std::clamp(
      this->ms_per_token + kSmoothing * (observed - this->ms_per_token),
      kMinMsPerToken, kMaxMsPerToken);
}

}  // namespace meadowthread
