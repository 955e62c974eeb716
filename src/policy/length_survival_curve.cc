#include "policy/length_survival_curve.h"

#include <algorithm>
#include <cmath>

namespace meadowthread {
namespace {

// Where the survival probability is below this, too few outputs were that long
// to tell how much longer they become.
constexpr double kMinSurvival = 1e-6;

double BucketPosition(double tokens) {
  return std::log2(std::max(tokens, 0.0) + 1.0) * kLengthBucketsPerOctave;
}

}  // namespace

std::size_t LengthBucketOf(std::int64_t tokens) {
  const double position = BucketPosition(static_cast<double>(tokens));
  const auto bucket = static_cast<std::size_t>(position);
  return std::min(bucket, kLengthBuckets - 1);
}

double LengthBucketStart(std::size_t bucket) {
  const double octaves = static_cast<double>(bucket) / kLengthBucketsPerOctave;
  return std::exp2(octaves) - 1.0;
}

LengthSurvivalCurve::LengthSurvivalCurve(
    std::span<const float, kLengthBuckets> weights) {
  double above = 0.0;
  for (std::size_t i = kLengthBuckets; i-- > 0;) {
    above += weights[i];
    this->survival[i] = static_cast<float>(above);
  }
  if (above <= 0.0) {
    return;
  }
  for (float& value : this->survival) {
    value = static_cast<float>(value / above);
  }
}

double LengthSurvivalCurve::Survival(double tokens) const {
  const double position = BucketPosition(tokens);
  if (position >= static_cast<double>(kLengthBuckets)) {
    return 0.0;
  }
  const auto bucket = static_cast<std::size_t>(position);
  const double part = position - static_cast<double>(bucket);
  const double low = this->survival[bucket];
  const double high = this->survival[bucket + 1];
  return low + (high - low) * part;
}

LengthSurvivalCurve::Tail::Tail(const LengthSurvivalCurve& curve,
                                std::int64_t generated)
    : curve(curve),
      start(static_cast<double>(generated)),
      start_survival(curve.Survival(this->start)) {}

double LengthSurvivalCurve::Tail::Survival(std::int64_t further) const {
  const double to = this->start + static_cast<double>(further);
  if (this->start_survival < kMinSurvival) {
    // The output is longer than any seen: assume a heavy tail. If that is
    // wrong, some memory stays unused, which is better than a preemption.
    return (this->start + 1.0) / (to + 1.0);
  }
  return std::min(1.0, this->curve.Survival(to) / this->start_survival);
}

double LengthSurvivalCurve::SurvivalAfter(std::int64_t generated,
                                          std::int64_t further) const {
  return this->After(generated).Survival(further);
}

std::int64_t LengthSurvivalCurve::TailQuantile(std::int64_t generated,
                                               double probability) const {
  std::int64_t low = 0;
  auto high = static_cast<std::int64_t>(LengthBucketStart(kLengthBuckets));
  while (low < high) {
    const std::int64_t middle = low + (high - low) / 2;
    if (this->SurvivalAfter(generated, middle) <= probability) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
}

double LengthSurvivalCurve::ExpectedRemaining(std::int64_t generated,
                                              std::int64_t max_output) const {
  const double limit = max_output > 0
                           ? static_cast<double>(max_output - generated)
                           : LengthBucketStart(kLengthBuckets);
  double sum = 0.0;
  double at = 0.0;
  double chance = 1.0;
  for (std::size_t i = LengthBucketOf(generated); i < kLengthBuckets; ++i) {
    const double next = std::min(
        limit, LengthBucketStart(i + 1) - static_cast<double>(generated));
    if (next <= at) {
      continue;
    }
    const double next_chance =
        this->SurvivalAfter(generated, static_cast<std::int64_t>(next));
    sum += (next - at) * (chance + next_chance) / 2.0;
    at = next;
    chance = next_chance;
  }
  return sum;
}

}  // namespace meadowthread
