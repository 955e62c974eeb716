#ifndef MEADOWTHREAD_PLACEMENT_ORDER_SENDER_H_
#define MEADOWTHREAD_PLACEMENT_ORDER_SENDER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/clock.h"
#include "base/lifetime.h"
#include "net/http_client.h"
#include "placement/lease.h"
#include "placement/order_messages.h"
#include "placement/ownership_view.h"

namespace meadowthread {

/// @brief An engine and the state that it is ordered to reach.
struct EngineOrder {
  std::string engine;
  std::string base_url;
  DesiredState desired;
  std::string reason;  ///< logged as `why`
};

/// @brief Sends orders to the engines that this deployment owns, while the
/// lease is held.
///
/// The lease and the ownership are checked right before sending. The process
/// may still pause between the check and the sending; the deadline and the
/// fencing token of the order cover that case.
class OrderSender {
 public:
  using Done = std::function<void(const OrderResult&)>;

  /// @param[in] client,ownership,clock outlive the sender
  /// @param[in] lease outlives the sender, and steps down when an engine
  /// answers with another holder's newer fencing token
  OrderSender(HttpClient& client, Lease& lease, const OwnershipView& ownership,
              const Clock& clock)
      : client(client), lease(lease), ownership(ownership), clock(clock) {}

  /// @brief Sends one order; `done` gets the outcome, possibly before Send
  /// returns.
  void Send(const EngineOrder& order, const Done& done);

 private:
  /// @brief OK, or why the order must not be sent now.
  absl::Status CheckMaySend(const EngineOrder& order) const;
  HttpRequest Request(const EngineOrder& order) const;
  OrderResult ClassifyAnswer(const OrderResult& answer, std::int64_t fence);

  HttpClient& client;
  Lease& lease;
  const OwnershipView& ownership;
  const Clock& clock;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_ORDER_SENDER_H_
