#ifndef MEADOWTHREAD_EXCHANGE_EXCHANGE_BUDGET_H_
#define MEADOWTHREAD_EXCHANGE_EXCHANGE_BUDGET_H_

#include <cstddef>
#include <cstdint>

#include "exchange/byte_budget.h"
#include "exchange/exchange_settings.h"
#include "exchange/view_synchronizer.h"

namespace meadowthread {

/// @brief Limits the bytes of the exchange, in both directions, HTTP included.
///
/// Two token buckets whose rates add up to the host's share: a regular one for
/// rounds and pushed changes, and one for bulk transfers. A starting host that
/// requests the full state thus can't stop its peers from pushing changes.
class ExchangeBudget {
 public:
  ExchangeBudget(const ExchangeSettings& settings, const Clock& clock);

  /// @brief Charges one message that was sent or received.
  /// @param[in] body_bytes without HTTP overhead, which is added here
  void Spend(std::size_t body_bytes);

  /// @brief Whether there are enough bytes to start a call.
  bool AllowsCall();

  /// @brief Whether less than half of the regular burst is left.
  bool IsLow();

  /// @brief Limits of the items in the next request.
  ItemLimits ForRequest();

  /// @brief Limits of the items in the next response. It may carry a full
  /// state, like a list read from the object store, and so overdraw the bulk
  /// bucket.
  ItemLimits ForAnswer();

 private:
  std::size_t ItemBytes();

  ExchangeSettings settings;
  ByteBudget regular;
  ByteBudget bulk;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_EXCHANGE_BUDGET_H_
