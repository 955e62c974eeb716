#include "policy/engine_speeds.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <span>

namespace meadowthread {
namespace {

// Plausible times per token: faster than any engine, and slower than any stream
// that a caller would wait for.
constexpr std::int64_t kMinTypicalUs = 100;
constexpr std::int64_t kMaxTypicalUs = 2'000'000;
// Fewer known engines do not tell what is usual.
constexpr std::size_t kMinEngines = 4;
// Engines count as uneven if a quarter of them is slower than the fastest one
// by more than this factor. Engines of one speed differ by up to 1.4 when they
// run different numbers of requests, and some services have engines that are
// slower by a third; neither needs other choices.
constexpr double kUnevenFactor = 2.0;
constexpr double kSlowQuantile = 0.75;
// Part of the measurements, each over a second, whose longest pause exceeds the
// pause factor. A stream of ten seconds meets such a pause once in five.
constexpr double kPauseTail = 0.02;
// Step of the quantile estimate, in the logarithm of the factor.
constexpr double kPauseStep = 0.05;
// Longer pauses are not the engine's: a connection that lost a packet, or a run
// that was preempted.
constexpr double kMaxPauseFactor = 8.0;

double QuantileOf(std::vector<double>& values, double quantile) {
  const std::ptrdiff_t at =
      std::lround(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

double MedianOf(std::span<const float> values) {
  std::vector<double> copy(values.begin(), values.end());
  constexpr double kMiddle = 0.5;
  return QuantileOf(copy, kMiddle);
}

}  // namespace

bool EngineSpeeds::Observe(std::size_t engine, std::string_view model,
                           const SpeedObservation& seen) {
  const bool is_plausible = seen.typical_us >= kMinTypicalUs &&
                            seen.typical_us <= kMaxTypicalUs &&
                            seen.longest_us >= seen.typical_us;
  if (!is_plausible) {
    ++this->ignored;
    return false;
  }
  if (engine >= this->engines.size()) {
    this->engines.resize(engine + 1);
  }
  Engine& known = this->engines[engine];
  known.typical_us.at(known.count % kKept) =
      static_cast<float>(seen.typical_us);
  known.longest_us.at(known.count % kKept) =
      static_cast<float>(seen.longest_us);
  ++known.count;
  known.model_hash = std::hash<std::string_view>{}(model);
  known.median_us =
      MedianOf(std::span(known.typical_us).first(std::min(known.count, kKept)));
  this->is_stale = true;
  this->NotePause(known, static_cast<double>(seen.longest_us));
  return true;
}

// A pause that the host or the network causes weighs more on a fast engine, so
// only engines that are not faster than the median count.
void EngineSpeeds::NotePause(const Engine& engine, double pause_us) {
  if (engine.median_us < this->Summarize().median_us) {
    return;
  }
  const double log_factor =
      std::log(std::min(pause_us / engine.median_us, kMaxPauseFactor));
  this->log_pause_factor += log_factor > this->log_pause_factor
                                ? kPauseStep * (1.0 - kPauseTail)
                                : -kPauseStep * kPauseTail;
}

void EngineSpeeds::Forget(std::size_t engine) {
  if (engine < this->engines.size()) {
    this->engines[engine] = Engine{};
    this->is_stale = true;
  }
}

const EngineSpeeds::Summary& EngineSpeeds::Summarize() const {
  if (!this->is_stale) {
    return this->summary;
  }
  this->is_stale = false;
  std::vector<double> times;
  std::set<std::size_t> models;
  for (const Engine& engine : this->engines) {
    if (engine.count > 0) {
      times.push_back(engine.median_us);
      models.insert(engine.model_hash);
    }
  }
  this->summary = Summary{};
  if (times.size() >= kMinEngines && models.size() == 1) {
    constexpr double kMiddle = 0.5;
    this->summary.are_uneven = QuantileOf(times, kSlowQuantile) >
                               kUnevenFactor * QuantileOf(times, 0.0);
    this->summary.median_us = QuantileOf(times, kMiddle);
  }
  return this->summary;
}

bool EngineSpeeds::AreUneven() const { return this->Summarize().are_uneven; }

double EngineSpeeds::RelativeTime(std::size_t engine) const {
  const Summary& all = this->Summarize();
  return all.are_uneven && this->IsKnown(engine)
             ? this->engines[engine].median_us / all.median_us
             : 1.0;
}

// Entries of the rings that are not yet used are zero.
std::optional<TokenPace> EngineSpeeds::PaceOf(std::size_t engine) const {
  if (!this->IsKnown(engine)) {
    return std::nullopt;
  }
  const Engine& known = this->engines[engine];
  const auto largest = [](const std::array<float, kKept>& ring) {
    return static_cast<std::int64_t>(
        *std::max_element(ring.begin(), ring.end()));
  };
  return TokenPace{largest(known.typical_us), largest(known.longest_us)};
}

double EngineSpeeds::ExpectedPauseUs(std::size_t engine) const {
  const Summary& all = this->Summarize();
  return all.are_uneven ? all.median_us * this->RelativeTime(engine) *
                              std::exp(this->log_pause_factor)
                        : 0.0;
}

}  // namespace meadowthread
