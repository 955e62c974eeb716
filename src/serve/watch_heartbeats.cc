#include "serve/watch_heartbeats.h"

#include <utility>

#include "base/log_line.h"

namespace meadowthread {

WatchHeartbeats::WatchHeartbeats(WatchDuties duties, GossipChannel& channel,
                                 const Clock& clock, Scheduler& scheduler)
    : duties(std::move(duties)),
      channel(channel),
      clock(clock),
      scheduler(scheduler) {}

void WatchHeartbeats::Start() {
  this->heard_ms = this->clock.MonotonicMs();
  this->BeatAndReschedule();
}

void WatchHeartbeats::NoteHeard() {
  this->heard_ms = this->clock.MonotonicMs();
  this->is_silent = false;
}

void WatchHeartbeats::BeatAndReschedule() {
  this->Beat();
  this->scheduler.After(
      kPeriodMs, this->life.Guarded([this] { this->BeatAndReschedule(); }));
}

// A watcher reads the store anyway, so it need not hear of the others. Its
// silence counts from the moment at which it stops watching.
void WatchHeartbeats::Beat() {
  if (this->duties.is_watcher()) {
    this->NoteHeard();
    const nlohmann::json payload = this->duties.payload();
    for (const std::string& host : this->duties.recipients()) {
      this->channel.SendToHost(kWatchHeartbeatTopic, payload, host);
    }
    return;
  }
  const std::int64_t silent_ms = this->clock.MonotonicMs() - this->heard_ms;
  if (silent_ms < kSilenceMs) {
    return;
  }
  if (!std::exchange(this->is_silent, true)) {
    LogLine("watchers-silent").Add("for_ms", silent_ms).WriteImportant();
  }
  this->duties.read_store();
}

}  // namespace meadowthread
