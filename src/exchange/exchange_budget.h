#ifndef MEADOWTHREAD_EXCHANGE_EXCHANGE_BUDGET_H_
#define MEADOWTHREAD_EXCHANGE_EXCHANGE_BUDGET_H_

#include <cstddef>
#include <cstdint>

#include "exchange/byte_budget.h"
#include "exchange/exchange_settings.h"
#include "exchange/view_sharer.h"

namespace meadowthread {

/// @brief The bytes that the exchange may use, both directions, HTTP included.
///
/// Two buckets whose rates add up to the host's share: one for rounds and news,
/// one for bulk, so that a host that starts and wants everything can't stop
/// the news of the hosts that it asks.
class ExchangeBudget {
 public:
  ExchangeBudget(const ExchangeSettings& settings, const Clock& clock);

  /// @brief Counts one message that was sent or came.
  /// @param[in] body_bytes without HTTP
  void Spend(std::size_t body_bytes);

  /// @brief Whether a call may be started.
  bool AllowsCall();

  /// @brief Whether less than half of the burst is left.
  bool IsLow();

  /// @brief What the next request may carry.
  ItemLimits ForRequest();

  /// @brief What the next answer may carry: whole state goes here, as the
  /// platform's own list would bring it, and runs the bulk share into debt.
  ItemLimits ForAnswer();

 private:
  std::size_t ItemBytes();

  ExchangeSettings settings;
  ByteBudget news;
  ByteBudget bulk;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_EXCHANGE_BUDGET_H_
