#include "exchange/byte_budget.h"

#include <algorithm>

namespace meadowthread {
namespace {

constexpr std::int64_t kMsPerSecond = 1000;

}  // namespace

ByteBudget::ByteBudget(std::int64_t rate, std::int64_t burst,
                       const Clock& budget_clock)
    : bytes_per_second(rate),
      burst_bytes(burst),
      clock(budget_clock),
      available(burst),
      refilled_ms(budget_clock.MonotonicMs()) {}

void ByteBudget::Spend(std::int64_t bytes) {
  this->Refill();
  this->available -= bytes;
}

std::int64_t ByteBudget::Available() {
  this->Refill();
  return this->available;
}

void ByteBudget::Refill() {
  const std::int64_t now_ms = this->clock.MonotonicMs();
  const std::int64_t added =
      (now_ms - this->refilled_ms) * this->bytes_per_second / kMsPerSecond;
  // Time that yields less than one byte is carried over to the next call.
  if (added == 0) {
    return;
  }
  this->refilled_ms = now_ms;
  this->available = std::min(this->burst_bytes, this->available + added);
}

}  // namespace meadowthread
