#ifndef MEADOWTHREAD_PERMITS_PERMIT_BUCKET_H_
#define MEADOWTHREAD_PERMITS_PERMIT_BUCKET_H_

#include <array>
#include <cstdint>

#include "policy/server_permits.h"

namespace meadowthread {

/// @brief Longest time after which a caller without a permit is told to return.
inline constexpr std::int64_t kMaxPermitRetryMs = 8'000;

/// @brief The permits of one server, as the host that grants them keeps them: a
/// token bucket from which the more urgent requests take first.
class PermitBucket {
 public:
  /// @param[in] per_s rate, above 0
  PermitBucket(double per_s, std::int64_t now_ms);

  /// @brief Changes the rate; permits beyond the new burst are dropped.
  void SetRate(double per_s, std::int64_t now_ms);

  /// @brief Takes a permit if one is left for this urgency.
  PermitDecision Take(Urgency urgency, std::int64_t now_ms);

 private:
  double Burst() const;
  void Fill(std::int64_t now_ms);
  double Reserved(Urgency urgency, std::int64_t now_ms) const;
  std::int64_t ReserveReturn(Urgency urgency, double missing,
                             std::int64_t now_ms);

  double per_s;
  double tokens = 0.0;
  std::int64_t filled_ms;
  /// When each urgency last asked; negative: never.
  std::array<std::int64_t, kUrgencyCount> asked_ms;
  /// Until when the permits are promised to returning callers of each urgency
  /// and to the more urgent ones.
  std::array<std::int64_t, kUrgencyCount> promised_ms;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PERMITS_PERMIT_BUCKET_H_
