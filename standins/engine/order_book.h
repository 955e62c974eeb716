#ifndef MEADOWTHREAD_STANDINS_ENGINE_ORDER_BOOK_H_
#define MEADOWTHREAD_STANDINS_ENGINE_ORDER_BOOK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "engine/generation.h"

namespace meadowthread::standins {

/// @brief An order: the whole state that an engine is to have.
struct Order {
  std::string holder;
  std::int64_t fence = 0;
  std::int64_t deadline_ms = 0;  ///< 0: none
  std::string role;
  std::vector<ModelRef> models;
};

/// @brief What became of an order.
enum class OrderAnswer { kApplied, kStaleFence, kDeadlinePassed };

/// @brief An order as it came.
struct OrderSeen {
  Order order;
  OrderAnswer answer = OrderAnswer::kApplied;
  std::int64_t at_ms = 0;
};

/// @brief Takes orders, with or without a look at their fencing number; pure.
class OrderBook {
 public:
  explicit OrderBook(bool checks_fence) : checks_fence(checks_fence) {}

  /// @brief Judges and notes an order.
  OrderAnswer Take(const Order& order, std::int64_t now_ms);

  /// @brief The highest fencing number applied.
  std::int64_t HighestFence() const { return this->highest_fence; }

  const std::vector<OrderSeen>& Seen() const { return this->seen; }

 private:
  OrderAnswer Judge(const Order& order, std::int64_t now_ms) const;

  bool checks_fence;
  std::int64_t highest_fence = 0;
  std::vector<OrderSeen> seen;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_ENGINE_ORDER_BOOK_H_
