#include "placement/load_budget.h"

#include <algorithm>
#include <cmath>

namespace meadowthread {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kBackOff = 0.5;
constexpr double kRecovery = 0.1;
// 2 x 0.5 is exactly one load, whatever the rounding of many refills.
constexpr double kRounding = 1e-9;

int Whole(double tokens) {
  return std::max(0, static_cast<int>(std::floor(tokens + kRounding)));
}

}  // namespace

// Starts with the urgent reserve alone: a fleet of holders that starts together
// must not spend a whole burst each at once.
LoadBudget::LoadBudget(const LoadBudgetSettings& with, const Clock& by)
    : settings(with),
      clock(by),
      rate(with.loads_per_second),
      tokens(with.urgent_reserve),
      refilled_ms(by.MonotonicMs()) {}

void LoadBudget::Refill() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  if (now_ms <= this->refilled_ms) {
    return;  // within a pause
  }
  const double passed_ms = static_cast<double>(now_ms - this->refilled_ms);
  this->tokens = std::min(this->settings.burst,
                          this->tokens + this->rate * passed_ms / kMsPerSecond);
  this->refilled_ms = now_ms;
}

int LoadBudget::Available() {
  this->Refill();
  return Whole(this->tokens - this->settings.urgent_reserve);
}

int LoadBudget::UrgentAvailable() {
  this->Refill();
  return Whole(this->tokens);
}

void LoadBudget::Take(int loads) { this->tokens -= loads; }

void LoadBudget::OnRefused(std::int64_t pause_ms) {
  this->Refill();
  this->rate = std::max(this->settings.lowest_rate, this->rate * kBackOff);
  this->tokens = std::min(this->tokens, 0.0);
  this->refilled_ms =
      std::max(this->refilled_ms, this->clock.MonotonicMs() + pause_ms);
}

void LoadBudget::OnLoaded() {
  this->rate =
      std::min(this->settings.loads_per_second,
               this->rate + kRecovery * this->settings.loads_per_second);
}

}  // namespace meadowthread
