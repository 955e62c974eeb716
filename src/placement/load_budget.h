#ifndef MEADOWTHREAD_PLACEMENT_LOAD_BUDGET_H_
#define MEADOWTHREAD_PLACEMENT_LOAD_BUDGET_H_

#include <cstdint>

#include "base/clock.h"

namespace meadowthread {

/// @brief Limits on the model loads that a group orders from the weight store.
struct LoadBudgetSettings {
  double loads_per_second = 0.5;  ///< total rate / number of groups
  double burst = 2;               ///< capacity of the token bucket
  double urgent_reserve = 1;      ///< tokens that only urgent loads may use
  double min_rate = 0.02;         ///< lower limit of the rate
};

/// @brief A token bucket for model loads that slows down when the weight store
/// is overloaded.
///
/// The rate halves when a load is refused or times out, and rises by a tenth of
/// the full rate with each load that completes.
class LoadBudget {
 public:
  /// @param[in] clock outlives the budget
  LoadBudget(const LoadBudgetSettings& settings, const Clock& clock);

  /// @brief The number of loads that may be ordered now.
  int Available();

  /// @brief The number of urgent loads that may be ordered now. Urgent loads
  /// are those of models that have fewer copies than they must; they may also
  /// use `urgent_reserve`.
  int UrgentAvailable();

  /// @brief Takes the tokens of loads that are ordered.
  void Take(int loads);

  /// @brief Halves the rate, empties the bucket and pauses its refill.
  /// @param[in] pause_ms length of the pause, with jitter added by the caller
  void OnRefused(std::int64_t pause_ms);

  /// @brief Raises the rate after a completed load.
  void OnLoaded();

  double Rate() const { return this->rate; }

 private:
  void Refill();

  LoadBudgetSettings settings;
  const Clock& clock;
  double rate;
  double tokens;
  std::int64_t refilled_ms;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_LOAD_BUDGET_H_
