#ifndef MEADOWTHREAD_POLICY_WORK_H_
#define MEADOWTHREAD_POLICY_WORK_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "policy/home_regions.h"

namespace meadowthread {

/// @brief How urgent a template's work is; lower values go first.
enum class Urgency : int { kUrgent = 0, kNormal = 1, kBatch = 2 };

inline constexpr int kUrgencies = 3;

/// @brief "urgent", "normal" or "batch".
std::string_view UrgencyName(Urgency urgency);

/// @brief One generation to be placed, as the policy sees it.
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
  std::int64_t deadline_ms = 0;  ///< for the first byte sent; 0: none
  Urgency urgency = Urgency::kNormal;
  std::int64_t expected_tokens = 0;  ///< prompt and output; by Dispatcher
  std::uint64_t prefix_hash = 0;     ///< 0: no prefix to look for
  bool forced = false;  ///< a run's copy: it has to go somewhere, room or not
  /// Its first event is wanted within this of its sending; 0: whenever.
  std::int64_t first_event_within_ms = 0;
  bool is_late = false;  ///< whatever is done: it takes room that others leave
  /// Prompt tokens ahead of it at its engine when it was sent; -1: what this
  /// host knows of.
  std::int64_t reading_ahead = -1;
  bool is_copy = false;  ///< its memory comes by a copy: nothing is to be read
  HomeRegions homes;     ///< it may run nowhere else
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_WORK_H_
