#ifndef MEADOWTHREAD_PLACEMENT_ORDER_MESSAGES_H_
#define MEADOWTHREAD_PLACEMENT_ORDER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "net/http_client.h"
#include "placement/planner.h"

namespace meadowthread {

/// @brief The outcome of sending an order to an engine.
enum class OrderOutcome {
  kApplied,     ///< accepted; the engine may still be loading
  kStaleFence,  ///< not applied: the engine saw a newer fencing token
  kSuperseded,  ///< not applied: the engine saw a newer fencing token of this
                ///< host's current tenure
  kDeadlinePassed,  ///< not applied: it arrived after its deadline
  kThrottled,       ///< not applied: the engine or the weight store is busy
  kRejected,        ///< not applied for another reason
  kNotSent,         ///< not sent by this host
  kUnknown,         ///< it may be applied now or later; read the load back
};

/// @brief The name of an outcome in log lines.
std::string_view OrderOutcomeName(OrderOutcome outcome);

/// @brief An order as it is sent to an engine: the state to reach, and what the
/// engine checks before it applies the order.
struct OrderMessage {
  std::string holder;
  std::int64_t fence = 0;
  std::int64_t deadline_unix_ms = 0;
  DesiredState desired;
};

/// @brief The outcome of an order with details from the engine's answer.
struct OrderResult {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  std::int64_t peer_fence = 0;       ///< newest that the engine saw; 0: unknown
  std::int64_t retry_after_ms = -1;  ///< when throttled; -1: not given
  absl::Status status;
};

/// @brief The body of the HTTP request (docs/INTERFACES.md, section 1).
std::string EncodeOrder(const OrderMessage& order);

/// @brief Reads the answer to an order. Any stale fencing token gives
/// kStaleFence; OrderSender turns it into kSuperseded where the newer token is
/// our own.
OrderResult ReadOrderAnswer(const FetchResult& fetched,
                            std::string_view engine);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_ORDER_MESSAGES_H_
