#ifndef MEADOWTHREAD_STANDINS_ENGINE_ORDER_LOG_H_
#define MEADOWTHREAD_STANDINS_ENGINE_ORDER_LOG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "engine/generation.h"

namespace meadowthread::standins {

/// @brief An order to an engine: the complete desired state.
struct Order {
  std::string holder;
  std::int64_t fence = 0;
  std::int64_t deadline_ms = 0;  ///< 0: none
  std::string role;
  std::vector<ModelRef> models;
};

/// @brief Result of an order.
enum class OrderAnswer { kApplied, kStaleFence, kDeadlinePassed };

/// @brief A received order with its result.
struct ReceivedOrder {
  Order order;
  OrderAnswer answer = OrderAnswer::kApplied;
  std::int64_t at_ms = 0;
};

/// @brief Accepts or refuses orders by their deadline and, if configured, their
/// fencing token, and records them; does no I/O.
class OrderLog {
 public:
  explicit OrderLog(bool checks_fence) : checks_fence(checks_fence) {}

  /// @brief Accepts or refuses an order and records it.
  OrderAnswer Take(const Order& order, std::int64_t now_ms);

  /// @brief The highest fencing token of an applied order.
  std::int64_t HighestFence() const { return this->highest_fence; }

  const std::vector<ReceivedOrder>& Seen() const { return this->seen; }

 private:
  OrderAnswer Evaluate(const Order& order, std::int64_t now_ms) const;

  bool checks_fence;
  std::int64_t highest_fence = 0;
  std::vector<ReceivedOrder> seen;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_ORDER_LOG_H_
