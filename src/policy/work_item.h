#ifndef MEADOWTHREAD_POLICY_WORK_ITEM_H_
#define MEADOWTHREAD_POLICY_WORK_ITEM_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "policy/allowed_regions.h"

namespace meadowthread {

/// @brief Urgency of a template's work; lower values are served first.
enum class Urgency : int { kUrgent = 0, kNormal = 1, kBatch = 2 };

inline constexpr int kUrgencyCount = 3;

/// @brief "urgent", "normal" or "batch".
std::string_view UrgencyName(Urgency urgency);

/// @brief One generation request to be placed on an engine.
struct WorkItem {
  std::string request;
  std::string workspace;
  std::string template_name;
  std::string model;
  std::string adapter;
  std::string version;  ///< empty: any version
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;  ///< 0: no limit known
  std::int64_t arrived_ms = 0;
  std::int64_t deadline_ms = 0;  ///< for sending the first byte; 0: none
  Urgency urgency = Urgency::kNormal;
  std::int64_t expected_tokens = 0;  ///< prompt and output; set by Dispatcher
  std::uint64_t prefix_hash = 0;     ///< 0: no known prefix
  /// Migrated run that must be placed somewhere, even on an engine without
  /// room.
  bool forced = false;
  /// Time from sending within which its first event is wanted; 0: no limit.
  std::int64_t first_event_within_ms = 0;
  /// Will miss its target in any case; uses only capacity that other work
  /// leaves.
  bool is_late = false;
  /// Prompt tokens to prefill ahead of it on its engine when it was sent; -1:
  /// use what this host knows.
  std::int64_t prefill_ahead_tokens = -1;
  /// Its KV cache is copied from another engine: no prompt to prefill.
  bool is_copy = false;
  AllowedRegions allowed_regions;  ///< regions in which it may run
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_WORK_ITEM_H_
