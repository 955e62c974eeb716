#include "serve/word_waits.h"

#include <algorithm>

#include "base/log_line.h"
#include "relay/backend_list.h"
#include "relay/store_outage_tracker.h"

namespace meadowthread {
namespace {

// Jitter stretches a backoff by half.
std::int64_t LongestBackoffMs(const FeederOptions& feeder) {
  return feeder.most_backoff_ms + feeder.most_backoff_ms / 2;
}

// A watch that is not answered, and the look by another connection.
std::int64_t SilentMs(const FeederOptions& feeder) {
  return feeder.wait_ms + feeder.overdue_ms;
}

}  // namespace

std::vector<WordWait> ChangeWaits(const WordPath& path,
                                  const WordBounds& bounds) {
  return {{"change", path.feeder.pace_ms + path.round_ms, bounds.change_ms},
          {"change-behind-silence", SilentMs(path.feeder) + path.round_ms,
           std::max(bounds.change_ms, bounds.settle_ms)}};
}

std::vector<WordWait> LeavingWaits(const WordPath& path,
                                   const WordBounds& bounds) {
  const std::int64_t noticed_ms =
      path.feeder.answer_margin_ms + LongestBackoffMs(path.feeder);
  return {
      {"leaving",
       path.feeder.pace_ms + path.stagger_ms + path.round_ms + path.connect_ms,
       bounds.leaving_ms},
      {"leaving-behind-silence",
       SilentMs(path.feeder) + path.round_ms + path.connect_ms,
       std::max(bounds.leaving_ms, bounds.settle_ms)},
      {"lapsed",
       noticed_ms + StoreOutageTracker::kReregistrationMs + path.connect_ms,
       bounds.settle_ms + bounds.leaving_ms},
      {"lapsed-unvouched",
       path.feeder.pace_ms + StoreOutageTracker::kUnconfirmedGraceMs +
           path.connect_ms,
       bounds.leaving_ms}};
}

std::vector<WordWait> EmptyingWaits(const WordPath& path,
                                    const WordBounds& bounds) {
  const std::int64_t after_word_ms =
      path.round_ms + Backend::kEmptiedZoneGraceMs + path.connect_ms;
  return {{"emptying", path.feeder.pace_ms + path.stagger_ms + after_word_ms,
           bounds.emptying_ms},
          {"emptying-behind-silence", SilentMs(path.feeder) + after_word_ms,
           std::max(bounds.emptying_ms, bounds.settle_ms)}};
}

void TellWaits(const std::vector<WordWait>& waits) {
  for (const WordWait& wait : waits) {
    if (!wait.Holds()) {
      LogLine("bound-not-kept")
          .Add("what", wait.what)
          .Add("longest_ms", wait.longest_ms)
          .Add("bound_ms", wait.bound_ms)
          .WriteImportant();
    }
  }
}

}  // namespace meadowthread
