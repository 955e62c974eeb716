#ifndef MEADOWTHREAD_POLICY_URGENT_RESERVE_H_
#define MEADOWTHREAD_POLICY_URGENT_RESERVE_H_

#include <cstdint>

#include "policy/work_item.h"

namespace meadowthread {

/// @brief Decides how much memory less urgent work must leave free for more
/// urgent work, from what has arrived recently.
class UrgentReserve {
 public:
  /// @brief Records work that arrived, whether or not it was placed.
  /// @param[in] tokens memory that it needs
  /// @param[in] held_ms how long it is expected to hold the memory
  void NoteArrival(Urgency urgency, std::int64_t tokens, std::int64_t held_ms,
                   std::int64_t now_ms);

  /// @brief Share of `capacity_tokens` that work of this urgency must leave
  /// free for more urgent work; 0 if none arrives, at most 0.25.
  double ShareFor(Urgency urgency, std::int64_t capacity_tokens,
                  std::int64_t now_ms) const;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_URGENT_RESERVE_H_
