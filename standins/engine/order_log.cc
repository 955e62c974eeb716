#include "engine/order_log.h"

#include <algorithm>

namespace meadowthread::standins {

OrderAnswer OrderLog::Take(const Order& order, std::int64_t now_ms) {
  const OrderAnswer answer = this->Evaluate(order, now_ms);
  if (answer == OrderAnswer::kApplied) {
    this->highest_fence = std::max(this->highest_fence, order.fence);
  }
  this->seen.push_back({order, answer, now_ms});
  return answer;
}

OrderAnswer OrderLog::Evaluate(const Order& order, std::int64_t now_ms) const {
  if (order.deadline_ms > 0 && order.deadline_ms <= now_ms) {
    return OrderAnswer::kDeadlinePassed;
  }
  if (this->checks_fence && order.fence < this->highest_fence) {
    return OrderAnswer::kStaleFence;
  }
  return OrderAnswer::kApplied;
}

}  // namespace meadowthread::standins
