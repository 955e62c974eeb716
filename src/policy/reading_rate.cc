#include "policy/reading_rate.h"

#include <algorithm>

namespace meadowthread {
namespace {

// Weight of one stream: engines change speed within seconds, and a host sees
// several first events a second.
constexpr double kWeight = 0.1;
// Of less than this a first event says little: connection and first step
// outweigh the reading.
constexpr std::int64_t kLeastTokens = 500;
// One stream that was preempted, or whose engine hung, is not all engines'
// speed: it counts as this many times the rate known so far at most.
constexpr double kMostFactor = 3.0;
// Between an engine that reads 50 tokens a millisecond and one that reads one.
constexpr double kLeastMsPerToken = 0.02;
constexpr double kMostMsPerToken = 1.0;

}  // namespace

void ReadingRate::Observe(std::int64_t tokens, std::int64_t took_ms) {
  if (tokens < kLeastTokens) {
    return;
  }
  const double seen =
      std::min(static_cast<double>(took_ms) / static_cast<double>(tokens),
               kMostFactor * this->ms_per_token);
  this->ms_per_token =
      std::clamp(this->ms_per_token + kWeight * (seen - this->ms_per_token),
                 kLeastMsPerToken, kMostMsPerToken);
}

}  // namespace meadowthread
