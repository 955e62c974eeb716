#ifndef MEADOWTHREAD_RELAY_RETRY_BUDGETS_H_
#define MEADOWTHREAD_RELAY_RETRY_BUDGETS_H_

#include <string_view>

#include "policy/retry_budget.h"
#include "policy/string_map.h"

namespace meadowthread {

/// @brief Limits on retries, for all hosts together.
struct FleetRetryLimits {
  double per_request = 0.1;  ///< retries earned by each first attempt
  /// Retries that may be saved up for bursts, summed over all hosts.
  double extra = 10.0;
};

/// @brief This host's share of the fleet-wide retry limits, with one budget per
/// service.
///
/// Hosts spend retries without coordination: each has a fixed share of the
/// saved-up retries and earns further ones through its own first attempts.
class RetryBudgets {
 public:
  explicit RetryBudgets(const FleetRetryLimits& bounds) : bounds(bounds) {}

  /// @brief Sets how many hosts share the limits, including this one.
  void SetHosts(int hosts);

  /// @brief Replaces the fleet-wide limits.
  void SetBounds(const FleetRetryLimits& with);

  /// @brief The retry budget of a service, created on first use.
  RetryBudget& BudgetFor(std::string_view service);

 private:
  double MaxSaved() const;

  FleetRetryLimits bounds;
  int hosts = 1;
  StringMap<RetryBudget> budgets;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_RETRY_BUDGETS_H_
