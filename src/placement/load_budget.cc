#include "placement/load_budget.h"

#include <algorithm>
#include <cmath>

namespace meadowthread {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kDecreaseFactor = 0.5;
constexpr double kRecoveryShare = 0.1;
// Added before rounding down: refills that add up to one load, such as 2 x 0.5,
// must count as one despite floating-point errors.
constexpr double kRoundingTolerance = 1e-9;

int WholeTokens(double tokens) {
  return std::max(0, static_cast<int>(std::floor(tokens + kRoundingTolerance)));
}

}  // namespace

// The bucket starts with the urgent reserve only. With a full bucket, many
// holders that start together would each order a full burst of loads at the
// same time.
LoadBudget::LoadBudget(const LoadBudgetSettings& settings, const Clock& clock)
    : settings(settings),
      clock(clock),
      rate(settings.loads_per_second),
      tokens(settings.urgent_reserve),
      refilled_ms(clock.MonotonicMs()) {}

void LoadBudget::Refill() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  if (now_ms <= this->refilled_ms) {
    return;  // refill is paused
  }
  const double elapsed_ms = static_cast<double>(now_ms - this->refilled_ms);
  this->tokens =
      std::min(this->settings.burst,
               this->tokens + this->rate * elapsed_ms / kMsPerSecond);
  this->refilled_ms = now_ms;
}

int LoadBudget::Available() {
  this->Refill();
  return WholeTokens(this->tokens - this->settings.urgent_reserve);
}

int LoadBudget::UrgentAvailable() {
  this->Refill();
  return WholeTokens(this->tokens);
}

void LoadBudget::Take(int loads) { this->tokens -= loads; }

void LoadBudget::OnRefused(std::int64_t pause_ms) {
  this->Refill();
  this->rate = std::max(this->settings.min_rate, this->rate * kDecreaseFactor);
  this->tokens = std::min(this->tokens, 0.0);
  this->refilled_ms =
      std::max(this->refilled_ms, this->clock.MonotonicMs() + pause_ms);
}

void LoadBudget::OnLoaded() {
  this->rate =
      std::min(this->settings.loads_per_second,
               this->rate + kRecoveryShare * this->settings.loads_per_second);
}

}  // namespace meadowthread
