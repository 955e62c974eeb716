#ifndef MEADOWTHREAD_POLICY_MEMORY_FORECAST_H_
#define MEADOWTHREAD_POLICY_MEMORY_FORECAST_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "policy/length_survival_curve.h"

namespace meadowthread {

/// @brief The horizons of a forecast: numbers of tokens that each running
/// stream generates from now on.
inline constexpr std::array<std::int64_t, 16> kHorizons = {
    0,     128,   256,   384,   512,   768,   1'024, 1'536,
    2'048, 2'560, 3'072, 3'584, 4'096, 5'120, 6'144, 8'192};
inline constexpr std::size_t kHorizonCount = kHorizons.size();

/// @brief A stream's length so far and its limit.
struct StreamProgress {
  std::int64_t prompt_tokens = 0;
  std::int64_t generated = 0;
  std::int64_t max_output_tokens = 0;  ///< 0: not known
};

/// @brief Expected effects of too little memory on one engine.
struct MemoryRisk {
  double overfill_chance = 0.0;  ///< probability of running out of memory, the
                                 ///< maximum over the horizons
  double shortfall_area = 0.0;   ///< missing memory in tokens, summed over the
                                 ///< token steps of the forecast
};

/// @brief Forecast of the memory held by a set of independent streams, as mean
/// and variance in tokens at each horizon.
struct MemoryForecast {
  std::array<float, kHorizonCount> mean = {};
  std::array<float, kHorizonCount> variance = {};

  /// @brief Adds one stream whose output length follows the distribution
  /// `curve`.
  void AddStream(const StreamProgress& stream,
                 const LengthSurvivalCurve& curve);

  /// @brief Adds the same number of tokens at every horizon, for work of which
  /// only the memory held now is known.
  void AddFlat(double tokens);

  /// @brief Adds another forecast multiplied by `scale`.
  void AddScaled(const MemoryForecast& other, float scale);

  /// @brief The risk of needing more than `capacity` tokens.
  MemoryRisk RiskOf(double capacity) const;

  /// @brief Whether the forecast, which already includes the new work, stays
  /// within its limits. Short work is compared only with the memory in use now,
  /// so that memory that other streams need later does not exclude it.
  /// @param[in] added the forecast of the new work alone
  /// @param[in] limit tokens at every horizon, for long work
  /// @param[in] limit_now tokens at the first horizon, for short work
  bool FitsWithin(const MemoryForecast& added, double limit,
                  double limit_now) const;

  /// @brief The maximum over the horizons of the mean, in tokens.
  double MaxExpectedTokens() const;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_MEMORY_FORECAST_H_
