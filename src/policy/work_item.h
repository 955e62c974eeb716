#ifndef MEADOWTHREAD_POLICY_WORK_ITEM_H_
#define MEADOWTHREAD_POLICY_WORK_ITEM_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "policy/allowed_regions.h"
#include "policy/version_rule.h"

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
  std::string service;  ///< whose engines may run it; empty: of no service
  std::string model;
  std::string adapter;
  std::string version;  ///< empty: any version
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;     ///< 0: no limit known
  std::int64_t hinted_output_tokens = 0;  ///< the caller's estimate; 0: none
  std::int64_t arrived_ms = 0;
  std::int64_t deadline_ms = 0;  ///< for sending the first byte; 0: none
  Urgency urgency = Urgency::kNormal;
  std::int64_t expected_tokens = 0;  ///< prompt and output; set by Dispatcher
  std::uint64_t prefix_hash = 0;     ///< 0: no known prefix
  /// A migrated run that must get an engine, even one without room for it.
  bool forced = false;
  /// Maximum time from sending the request to its first event; 0: no limit.
  std::int64_t first_event_within_ms = 0;
  /// The work will miss its latency target in any case, so it gets only
  /// capacity that other work leaves free.
  bool is_late = false;
  /// Prompt tokens that its engine had to prefill before its own when it was
  /// sent; -1: not stated, estimated from this host's fleet state.
  std::int64_t prefill_ahead_tokens = -1;
  /// Its KV cache is copied from another engine, so there is no prompt to
  /// prefill.
  bool is_copy = false;
  /// Longest pause between two events with which its answer is still in time,
  /// divided by the tokens of an event; 0: no limit.
  std::int64_t max_token_gap_us = 0;
  std::int64_t tokens_per_event = 1;
  AllowedRegions allowed_regions;  ///< regions in which it may run
  /// Engines that it may run on, by the version of their software.
  VersionRule software;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_POLICY_WORK_ITEM_H_
