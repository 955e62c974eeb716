#ifndef MEADOWTHREAD_PLACEMENT_ORDERER_H_
#define MEADOWTHREAD_PLACEMENT_ORDERER_H_

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

/// @brief One engine to be brought to a desired state.
struct EngineOrder {
  std::string engine;
  std::string base_url;
  DesiredState desired;
  std::string why;  ///< for the log line
};

/// @brief Sends orders to engines, under a lease and for engines we own.
///
/// Everything is checked again just before sending. What cannot be excluded is
/// a pause between that check and the sending itself: the order's deadline and
/// fence are for that.
class Orderer {
 public:
  using Done = std::function<void(const OrderResult&)>;

  /// @param[in] over,under,within,by outlive the orderer; a stale fence makes
  /// the lease step down
  Orderer(HttpClient& over, Lease& under, const OwnershipView& within,
          const Clock& by)
      : client(over), lease(under), ownership(within), clock(by) {}

  /// @brief Sends one order; `done` may be called from within.
  void Send(const EngineOrder& order, const Done& done);

 private:
  /// @brief OK, or why nothing may be sent now.
  absl::Status MaySend(const EngineOrder& order) const;
  HttpRequest Request(const EngineOrder& order) const;
  OrderResult Settle(const OrderResult& answer, std::int64_t fence);

  HttpClient& client;
  Lease& lease;
  const OwnershipView& ownership;
  const Clock& clock;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_ORDERER_H_
