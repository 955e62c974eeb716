#ifndef MEADOWTHREAD_EXCHANGE_EXCHANGE_SETTINGS_H_
#define MEADOWTHREAD_EXCHANGE_EXCHANGE_SETTINGS_H_

#include <cstddef>
#include <cstdint>

namespace meadowthread {

/// @brief What one message costs besides its body: HTTP head, TCP and IP
/// headers. Measured, see docs/design/exchange.md.
inline constexpr std::int64_t kHttpBytesPerMessage = 400;

/// @brief How hosts exchange; times in milliseconds.
struct ExchangeSettings {
  std::int64_t round_ms = 500;
  double round_jitter = 0.2;         ///< share of `round_ms`, either way
  int partners = 2;                  ///< asked in a round
  int news_fanout = 3;               ///< told at once of a change; 0: none
  std::int64_t news_delay_ms = 20;   ///< gathers changes that come together
  std::int64_t retry_news_ms = 200;  ///< while bytes are short
  std::int64_t call_limit_ms = 1000;
  int max_calls = 8;  ///< in progress at once
  /// A partner whose answer shows that it is behind is sent what it lacks.
  bool push_to_behind = true;
  std::int64_t news_bytes_per_second = 25000;
  std::int64_t news_burst_bytes = 100000;
  /// Kept for what peers send, which can't be refused.
  std::int64_t news_reserve_bytes = 20000;
  std::int64_t news_item_bytes = 8192;  ///< a bigger message counts as bulk
  std::int64_t bulk_bytes_per_second = 4000;
  std::int64_t bulk_burst_bytes = std::int64_t{2} << 20;
  std::int64_t bulk_item_bytes = std::int64_t{256} << 10;
  std::size_t load_notes = 8;  ///< most in a message; none while bytes are low
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_EXCHANGE_SETTINGS_H_
