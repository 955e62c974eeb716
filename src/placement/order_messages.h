#ifndef MEADOWTHREAD_PLACEMENT_ORDER_MESSAGES_H_
#define MEADOWTHREAD_PLACEMENT_ORDER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "net/http_client.h"
#include "placement/planner.h"

namespace meadowthread {

/// @brief What became of an order.
enum class OrderOutcome {
  kApplied,         ///< the engine has taken it; loading may go on
  kStaleFence,      ///< another holder has ordered: this one has stepped down
  kSuperseded,      ///< refused for a newer order of our own tenure
  kDeadlinePassed,  ///< came too late; not applied
  kThrottled,       ///< too busy; not applied
  kRejected,        ///< refused for another reason; not applied
  kNotSent,         ///< nothing has left this host
  kUnknown,         ///< it may be applied, now or later: read back
};

/// @brief The outcome's name in log lines.
std::string_view OrderOutcomeName(OrderOutcome outcome);

/// @brief An order as it goes to an engine.
struct OrderMessage {
  std::string holder;
  std::int64_t fence = 0;
  std::int64_t deadline_unix_ms = 0;
  DesiredState desired;
};

/// @brief An order's outcome with what the engine said.
struct OrderResult {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  std::int64_t peer_fence = 0;       ///< where the fence was stale; 0: unsaid
  std::int64_t retry_after_ms = -1;  ///< where throttled; -1: unsaid
  absl::Status status;
};

/// @brief The order's body on the wire (docs/INTERFACES.md, section 1).
std::string EncodeOrder(const OrderMessage& order);

/// @brief Reads the answer to an order. Tells kStaleFence for any stale fence;
/// whose the newer one is, the orderer knows.
OrderResult ReadOrderAnswer(const HttpFetched& fetched,
                            std::string_view engine);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_ORDER_MESSAGES_H_
