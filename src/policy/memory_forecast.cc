#include "policy/memory_forecast.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>

namespace meadowthread {

void MemoryForecast::AddStream(const StreamOutlook& stream,
                               const LengthCurve& curve) {
  const LengthCurve::Tail tail = curve.After(stream.generated);
  const std::int64_t held_now = stream.prompt_tokens + stream.generated;
  for (std::size_t i = 0; i < kHorizonCount; ++i) {
    const std::int64_t further = kHorizons[i];
    const bool over = stream.max_output_tokens > 0 &&
                      stream.generated + further >= stream.max_output_tokens;
    if (over) {
      break;
    }
    const double alive = tail.Survival(further);
    const auto held = static_cast<double>(held_now + further);
    this->mean[i] += static_cast<float>(held * alive);
    this->variance[i] += static_cast<float>(held * held * alive * (1 - alive));
  }
}

void MemoryForecast::AddScaled(const MemoryForecast& other, float scale) {
  for (std::size_t i = 0; i < kHorizonCount; ++i) {
    this->mean[i] += scale * other.mean[i];
    this->variance[i] += scale * other.variance[i];
  }
}

double MemoryForecast::OverfillChance(double capacity) const {
  // The chance falls with the distance in standard deviations, so that only
  // the shortest one needs the costly function.
  double shortest = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < kHorizonCount; ++i) {
    const double spread = std::sqrt(std::max(1.0F, this->variance[i]));
    shortest = std::min(shortest, (capacity - this->mean[i]) / spread);
  }
  return 0.5 * std::erfc(shortest / std::numbers::sqrt2);
}

double MemoryForecast::PeakMean() const {
  return *std::max_element(this->mean.begin(), this->mean.end());
}

}  // namespace meadowthread
