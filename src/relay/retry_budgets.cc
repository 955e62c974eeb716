#include "relay/retry_budgets.h"

#include <algorithm>
#include <string>

namespace meadowthread {
namespace {

// Part of the fleet-wide limit that the hosts spend in total. The rest is a
// margin: hosts learn late of changes in their number, and a restarted host
// begins with a full budget.
constexpr double kSafetyFactor = 0.6;
// Backoff between the retries of one request. It is short, as callers expect
// answers to repeatable requests soon.
constexpr std::int64_t kFirstBackoffMs = 4;
constexpr std::int64_t kMaxBackoffMs = 50;

}  // namespace

double RetryBudgets::MaxSaved() const {
  return std::max(1.0, this->bounds.extra * kSafetyFactor / this->hosts);
}

void RetryBudgets::SetHosts(int count) {
  this->hosts = std::max(1, count);
  for (auto& [service, budget] : this->budgets) {
    budget.SetMostSaved(this->MaxSaved());
  }
}

void RetryBudgets::SetBounds(const FleetRetryLimits& with) {
  this->bounds = with;
  this->SetHosts(this->hosts);
}

RetryBudget& RetryBudgets::BudgetFor(std::string_view service) {
  const auto found = this->budgets.find(service);
  if (found != this->budgets.end()) {
    return found->second;
  }
  RetryBudgetOptions options;
  options.per_request = this->bounds.per_request * kSafetyFactor;
  options.most_saved = this->MaxSaved();
  options.first_backoff_ms = kFirstBackoffMs;
  options.max_backoff_ms = kMaxBackoffMs;
  return this->budgets.emplace(std::string(service), RetryBudget(options))
      .first->second;
}

}  // namespace meadowthread
