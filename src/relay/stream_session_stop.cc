// Streams on a host that shuts down.
#include <algorithm>

#include "base/error.h"
#include "base/log_line.h"
#include "relay/stream_session.h"

namespace meadowthread {

// The engine's backlog includes the stream's own prompt once it was placed
// there.
StreamForecast StreamSession::ForecastAt(
    std::optional<EngineIndex> index) const {
  StreamForecast forecast;
  forecast.remaining_ms = std::max<std::int64_t>(0, this->RemainingMs());
  forecast.max_token_gap_us = this->MaxTokenGapUs();
  const std::int64_t prompt_tokens =
      this->request.generation.has_value()
          ? this->request.generation->prompt_tokens
          : 0;
  forecast.max_output_tokens = MaxOutputTokens(this->request);
  if (index.has_value()) {
    const FleetState& fleet = this->stream_deps.fleet;
    const std::int64_t ahead =
        fleet.PrefillBacklog(*index, this->deps.clock.WallMs());
    const std::int64_t own = this->in_fleet_state ? 0 : prompt_tokens;
    forecast.prefill_ms =
        static_cast<std::int64_t>(fleet.PrefillMs(*index, ahead + own));
    forecast.pace = fleet.Speeds().PaceOf(*index);
  }
  return forecast;
}

// The bound at the engine that promises the earliest end.
std::int64_t StreamSession::LeastMaxDurationMs() const {
  const std::span<const EngineIndex> engines =
      this->stream_deps.fleet.Serving(this->MakeWork());
  if (engines.empty()) {
    return MaxStreamMs(this->ForecastAt(std::nullopt));
  }
  std::int64_t least_ms = this->RemainingMs();
  for (const EngineIndex index : engines) {
    least_ms = std::min(least_ms, MaxStreamMs(this->ForecastAt(index)));
  }
  return least_ms;
}

bool StreamSession::RefuseIfStopEndsFirst() {
  if (!this->deps.stops.HasBegun() || this->phase != StreamPhase::kQueued) {
    return false;
  }
  const std::int64_t max_ms = this->LeastMaxDurationMs();
  if (this->deps.stops.Allows(this->deps.clock.MonotonicMs(), max_ms)) {
    return false;
  }
  this->stream_deps.dispatcher.Cancel(this->request.id);
  this->RefuseForStop(max_ms);
  return true;
}

// The last moment at which it is certain that no engine has the request.
bool StreamSession::RefuseIfStopEndsFirstAt(std::string_view key) {
  if (!this->deps.stops.HasBegun()) {
    return false;
  }
  const StreamForecast forecast =
      this->ForecastAt(this->stream_deps.fleet.IndexOf(key));
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  this->max_duration_ms = MaxStreamMs(forecast);
  const bool may = this->deps.stops.Allows(now_ms, this->max_duration_ms);
  LogLine("stop-forecast")
      .Add("request", this->request.id)
      .Add("engine", key)
      .Add("verdict", may ? "send" : "refuse")
      .Add("most_output", forecast.max_output_tokens)
      .Add("max_ms", this->max_duration_ms)
      .Add("stop_left_ms", this->deps.stops.LeftMs(now_ms))
      .Add("pace", forecast.pace.has_value() ? "measured" : "of_route")
      .Add("typical_us",
           forecast.pace.has_value() ? forecast.pace->typical_us : -1)
      .Add("longest_us", forecast.pace.has_value() ? forecast.pace->longest_us
                                                   : forecast.max_token_gap_us)
      .Add("prefill_ms", forecast.prefill_ms)
      .Write();
  if (!may) {
    this->RefuseForStop(this->max_duration_ms);
  }
  return !may;
}

void StreamSession::RefuseForStop(std::int64_t max_ms) {
  LogLine("stop-refuses")
      .Add("request", this->request.id)
      .Add("max_ms", max_ms)
      .Add("stop_left_ms",
           this->deps.stops.LeftMs(this->deps.clock.MonotonicMs()))
      .Write();
  this->Refuse(ErrorId::kHostLeaving, Outcome::kNotRun, "stop",
               "this host stops before the stream would have ended",
               this->deps.stops.ReturnAfterMs());
}

void StreamSession::EndForShutdown(std::int64_t return_after_ms) {
  if (this->phase == StreamPhase::kQueued) {
    this->stream_deps.dispatcher.Cancel(this->request.id);
    this->Refuse(ErrorId::kHostLeaving, Outcome::kNotRun, "stop",
                 "the host ends", return_after_ms);
    return;
  }
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  LogLine("stop-cuts")
      .Add("request", this->request.id)
      .Add("engine", this->engine)
      .Add("events", this->events)
      .Add("most_output", MaxOutputTokens(this->request))
      .Add("since_sent_ms", now_ms - this->sent_ms)
      .Add("since_event_ms", now_ms - this->last_event_ms)
      .Add("mean_gap_ms", this->MeanGapMs())
      .Add("max_ms", this->max_duration_ms)
      .WriteImportant();
  this->Interrupt("the host ends");
}

}  // namespace meadowthread
