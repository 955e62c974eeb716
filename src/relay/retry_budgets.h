#ifndef MEADOWTHREAD_RELAY_RETRY_BUDGETS_H_
#define MEADOWTHREAD_RELAY_RETRY_BUDGETS_H_

#include <string_view>

#include "policy/retry_budget.h"
#include "policy/string_map.h"

namespace meadowthread {

/// @brief What all hosts together may send again.
struct SharedRetryBounds {
  double per_request = 0.1;  ///< for each first attempt
  double extra = 10.0;       ///< over all hosts, within the window
};

/// @brief This host's part of the retries, a budget for each service.
///
/// Hosts spend without asking each other: each has its part of the extra ones,
/// and earns the rest by its own first attempts.
class RetryBudgets {
 public:
  explicit RetryBudgets(const SharedRetryBounds& bounds) : bounds(bounds) {}

  /// @brief How many hosts share the bounds, this one included.
  void SetHosts(int hosts);

  void SetBounds(const SharedRetryBounds& with);

  /// @brief The budget of a service.
  RetryBudget& Of(std::string_view service);

 private:
  double MostSaved() const;

  SharedRetryBounds bounds;
  int hosts = 1;
  StringMap<RetryBudget> budgets;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_RETRY_BUDGETS_H_
