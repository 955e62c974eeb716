#ifndef MEADOWTHREAD_PLACEMENT_LOAD_BUDGET_H_
#define MEADOWTHREAD_PLACEMENT_LOAD_BUDGET_H_

#include <cstdint>

#include "base/clock.h"

namespace meadowthread {

/// @brief A group's share of the weight store's rate.
struct LoadBudgetSettings {
  double loads_per_second = 0.5;  ///< the store's rate over all groups' count
  double burst = 2;               ///< loads that may be saved up
  double urgent_reserve = 1;      ///< of these, kept for urgent loads
  double lowest_rate = 0.02;      ///< never slower than this
};

/// @brief A token bucket whose rate gives way to the weight store's refusals.
///
/// Its rate halves when the store refuses or a load takes far too long, and
/// comes back by a tenth of its full rate with each load that completes.
class LoadBudget {
 public:
  /// @param[in] by outlives the budget
  LoadBudget(const LoadBudgetSettings& with, const Clock& by);

  /// @brief Whole loads that may be ordered now.
  int Available();

  /// @brief The same for urgent loads; never fewer.
  int UrgentAvailable();

  /// @brief Loads have been ordered.
  void Take(int loads);

  /// @brief The weight store is too busy.
  /// @param[in] pause_ms nothing is loaded for so long; spread by the caller
  void OnRefused(std::int64_t pause_ms);

  /// @brief A load has completed.
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
