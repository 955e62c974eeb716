#ifndef MEADOWTHREAD_PERMITS_FALLBACK_SHARE_H_
#define MEADOWTHREAD_PERMITS_FALLBACK_SHARE_H_

#include <cstddef>
#include <cstdint>

#include "policy/server_permits.h"

namespace meadowthread {

/// @brief This host's part of a server's rate while the host that grants the
/// server's permits does not answer. It follows from the number of hosts alone,
/// so that hosts that hear nobody stay within the rate together.
class FallbackShare {
 public:
  /// @param[in] position this host's place among the hosts, from 0 to below 1,
  /// so that they do not all begin at once
  explicit FallbackShare(double position) : position(position) {}

  /// @brief Takes a permit if this host's next one is due.
  /// @param[in] per_s the server's rate, above 0
  /// @param[in] hosts number of hosts that share it, at least 1
  PermitDecision Take(double per_s, std::size_t hosts, std::int64_t now_ms);

 private:
  double position;
  std::int64_t next_ms = -1;  ///< monotonic; -1: not in use
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PERMITS_FALLBACK_SHARE_H_
