#include "relay/retry_budgets.h"

#include <algorithm>
#include <string>

namespace meadowthread {
namespace {

// Hosts count each other late, and a restarted one begins with a full part.
constexpr double kSafePart = 0.6;
// Retries of one request wait no longer than this: what may be repeated is
// wanted soon.
constexpr std::int64_t kFirstBackoffMs = 4;
constexpr std::int64_t kMostBackoffMs = 50;

}  // namespace

double RetryBudgets::MostSaved() const {
  return std::max(1.0, this->bounds.extra * kSafePart / this->hosts);
}

void RetryBudgets::SetHosts(int count) {
  this->hosts = std::max(1, count);
  for (auto& [service, budget] : this->budgets) {
    budget.SetMostSaved(this->MostSaved());
  }
}

void RetryBudgets::SetBounds(const SharedRetryBounds& with) {
  this->bounds = with;
  this->SetHosts(this->hosts);
}

RetryBudget& RetryBudgets::Of(std::string_view service) {
  const auto found = this->budgets.find(service);
  if (found != this->budgets.end()) {
    return found->second;
  }
  RetryBudgetOptions options;
  options.per_request = this->bounds.per_request * kSafePart;
  options.most_saved = this->MostSaved();
  options.first_backoff_ms = kFirstBackoffMs;
  options.max_backoff_ms = kMostBackoffMs;
  return this->budgets.emplace(std::string(service), RetryBudget(options))
      .first->second;
}

}  // namespace meadowthread
