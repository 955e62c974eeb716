#include "policy/memory_forecast.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace meadowthread {
namespace {

// If the forecast mean is this many standard deviations below the limit, the
// risk is negligible.
constexpr double kNegligibleSigmas = 4.0;
// Work counts as ended at a horizon if its mean memory there is at most this
// fraction of the limit.
constexpr double kEndedFraction = 0.02;
// Work that still holds memory at the horizon with this index, 256 tokens from
// now, counts as long.
constexpr std::size_t kLastingHorizon = 2;

}  // namespace

void MemoryForecast::AddStream(const StreamProgress& stream,
                               const LengthSurvivalCurve& curve) {
  const LengthSurvivalCurve::Tail tail = curve.After(stream.generated);
  const std::int64_t held_now = stream.prompt_tokens + stream.generated;
  for (std::size_t i = 0; i < kHorizonCount; ++i) {
    const std::int64_t further = kHorizons[i];
    const bool reaches_limit =
        stream.max_output_tokens > 0 &&
        stream.generated + further >= stream.max_output_tokens;
    if (reaches_limit) {
      break;
    }
    const double survival = tail.Survival(further);
    const auto held = static_cast<double>(held_now + further);
    this->mean[i] += static_cast<float>(held * survival);
    this->variance[i] +=
        static_cast<float>(held * held * survival * (1 - survival));
  }
}

void MemoryForecast::AddFlat(double tokens) {
  for (float& at : this->mean) {
    at += static_cast<float>(tokens);
  }
}

void MemoryForecast::AddScaled(const MemoryForecast& other, float scale) {
  for (std::size_t i = 0; i < kHorizonCount; ++i) {
    this->mean[i] += scale * other.mean[i];
    this->variance[i] += scale * other.variance[i];
  }
}

MemoryRisk MemoryForecast::RiskOf(double capacity) const {
  MemoryRisk risk;
  for (std::size_t i = 0; i < kHorizonCount; ++i) {
    const double spread = std::sqrt(std::max(1.0F, this->variance[i]));
    const double distance = (capacity - this->mean[i]) / spread;
    if (distance > kNegligibleSigmas) {
      continue;
    }
    const double chance = 0.5 * std::erfc(distance / std::numbers::sqrt2);
    const double density = std::exp(-0.5 * distance * distance) *
                           std::numbers::inv_sqrtpi / std::numbers::sqrt2;
    // Mean of the excess over `capacity` of a normal distribution.
    const double shortfall = spread * (density - distance * chance);
    const std::int64_t until =
        i + 1 < kHorizonCount ? kHorizons[i + 1] : kHorizons[i];
    risk.overfill_chance = std::max(risk.overfill_chance, chance);
    risk.shortfall_area +=
        shortfall * static_cast<double>(until - kHorizons[i]);
  }
  return risk;
}

bool MemoryForecast::FitsWithin(const MemoryForecast& added, double limit,
                                double limit_now) const {
  const bool lasts = added.mean[kLastingHorizon] > kEndedFraction * limit;
  if (!lasts) {
    return this->mean[0] <= limit_now;
  }
  return this->MaxExpectedTokens() <= limit;
}

double MemoryForecast::MaxExpectedTokens() const {
  return *std::max_element(this->mean.begin(), this->mean.end());
}

}  // namespace meadowthread
