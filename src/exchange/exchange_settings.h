#ifndef MEADOWTHREAD_EXCHANGE_EXCHANGE_SETTINGS_H_
#define MEADOWTHREAD_EXCHANGE_EXCHANGE_SETTINGS_H_

#include <cstddef>
#include <cstdint>

namespace meadowthread {

/// @brief Bytes of a message besides its body: HTTP, TCP and IP headers (see
/// docs/design/exchange.md).
inline constexpr std::int64_t kHttpBytesPerMessage = 400;

/// @brief Settings of the exchange; times in milliseconds.
struct ExchangeSettings {
  std::int64_t round_ms = 500;
  double round_jitter = 0.2;  ///< fraction of `round_ms`, plus or minus
  int partners = 2;           ///< peers called in a round
  int push_fanout = 3;        ///< peers that a change is pushed to; 0: none
  std::int64_t push_delay_ms = 20;   ///< batches changes before a push
  std::int64_t push_retry_ms = 200;  ///< delay of a push while out of bytes
  std::int64_t call_timeout_ms = 1000;
  int max_calls = 8;  ///< limit of concurrent calls
  /// Whether a peer whose response shows that it is behind is sent what it
  /// lacks.
  bool push_to_behind = true;
  std::int64_t regular_bytes_per_second = 25000;
  std::int64_t regular_burst_bytes = 100000;
  /// Not spent on own calls: reserved for what peers send, which can't be
  /// refused.
  std::int64_t regular_reserve_bytes = 20000;
  std::int64_t regular_item_bytes = 8192;  ///< a larger message counts as bulk
  std::int64_t bulk_bytes_per_second = 4000;
  std::int64_t bulk_burst_bytes = std::int64_t{2} << 20;
  std::int64_t bulk_item_bytes = std::int64_t{256} << 10;
  std::size_t load_notes = 8;  ///< limit per message; 0 while bytes are low
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_EXCHANGE_SETTINGS_H_
