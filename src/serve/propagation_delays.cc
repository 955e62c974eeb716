#include "serve/propagation_delays.h"

#include <algorithm>

#include "base/log_line.h"
#include "relay/backend_list.h"
#include "relay/store_outage_tracker.h"

namespace meadowthread {
namespace {

// Jitter extends a backoff by up to half.
std::int64_t LongestBackoffMs(const WatcherOptions& feeder) {
  return feeder.most_backoff_ms + feeder.most_backoff_ms / 2;
}

// Time until a host stops relying on a hanging connection: the wait time of the
// unanswered watch, plus the delay until it reads over another connection.
std::int64_t SilentConnectionMs(const WatcherOptions& feeder) {
  return feeder.wait_ms + feeder.overdue_ms;
}

}  // namespace

std::vector<PropagationDelay> ConfigChangeDelays(
    const PropagationPath& path, const PropagationBounds& bounds) {
  return {
      {"change", path.feeder.pace_ms + path.round_ms, bounds.change_ms},
      {"change-behind-silence", SilentConnectionMs(path.feeder) + path.round_ms,
       std::max(bounds.change_ms, bounds.settle_ms)}};
}

std::vector<PropagationDelay> ServerRemovalDelays(
    const PropagationPath& path, const PropagationBounds& bounds) {
  const std::int64_t detection_ms =
      path.feeder.answer_margin_ms + LongestBackoffMs(path.feeder);
  return {
      {"leaving",
       path.feeder.pace_ms + path.stagger_ms + path.round_ms + path.connect_ms,
       bounds.leaving_ms},
      {"leaving-behind-silence",
       SilentConnectionMs(path.feeder) + path.round_ms + path.connect_ms,
       std::max(bounds.leaving_ms, bounds.settle_ms)},
      {"lapsed",
       detection_ms + StoreOutageTracker::kReregistrationMs + path.connect_ms,
       bounds.settle_ms + bounds.leaving_ms},
      {"lapsed-unvouched",
       path.feeder.pace_ms + StoreOutageTracker::kUnconfirmedGraceMs +
           path.connect_ms,
       bounds.leaving_ms}};
}

std::vector<PropagationDelay> ZoneEmptyingDelays(
    const PropagationPath& path, const PropagationBounds& bounds) {
  const std::int64_t after_read_ms =
      path.round_ms + Backend::kEmptiedZoneGraceMs + path.connect_ms;
  return {{"emptying", path.feeder.pace_ms + path.stagger_ms + after_read_ms,
           bounds.emptying_ms},
          {"emptying-behind-silence",
           SilentConnectionMs(path.feeder) + after_read_ms,
           std::max(bounds.emptying_ms, bounds.settle_ms)}};
}

void LogExceededBounds(const std::vector<PropagationDelay>& waits) {
  for (const PropagationDelay& wait : waits) {
    if (!wait.IsWithinBound()) {
      LogLine("bound-not-kept")
          .Add("what", wait.what)
          .Add("longest_ms", wait.longest_ms)
          .Add("bound_ms", wait.bound_ms)
          .WriteImportant();
    }
  }
}

}  // namespace meadowthread
