#ifndef MEADOWTHREAD_EXCHANGE_BYTE_BUDGET_H_
#define MEADOWTHREAD_EXCHANGE_BYTE_BUDGET_H_

#include <cstdint>

#include "base/clock.h"

namespace meadowthread {

/// @brief A token bucket of bytes whose balance may become negative, as bytes
/// that a peer sends have been used before they can be refused.
class ByteBudget {
 public:
  /// @param[in] bytes_per_second refill rate
  /// @param[in] burst_bytes capacity; the bucket starts full
  /// @param[in] clock outlives this
  ByteBudget(std::int64_t bytes_per_second, std::int64_t burst_bytes,
             const Clock& clock);

  /// @brief Takes bytes from the bucket, also if it has fewer.
  void Spend(std::int64_t bytes);

  /// @brief Bytes that may be spent now; negative after overspending.
  std::int64_t Available();

  std::int64_t Burst() const { return this->burst_bytes; }

 private:
  void Refill();

  std::int64_t bytes_per_second;
  std::int64_t burst_bytes;
  const Clock& clock;
  std::int64_t available;
  std::int64_t refilled_ms;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_BYTE_BUDGET_H_
