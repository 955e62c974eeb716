#include "serve/host_metrics.h"

#include <array>

namespace meadowthread {
namespace {

constexpr std::size_t kMaxEngines = 200;
constexpr double kMsPerSecond = 1000.0;

}  // namespace

HostMetrics::HostMetrics()
    : requests(this->registry.AddCounter({"meadowthread_requests_total",
                                          "Generations by outcome.",
                                          {"workspace", "outcome"}})),
      tokens(this->registry.AddCounter(
          {"meadowthread_tokens_total", "Tokens delivered.", {"workspace"}})),
      first_token(
          this->registry.AddSummary({"meadowthread_first_token_seconds",
                                     "Time from arrival to the first token.",
                                     {"workspace"}})),
      token_gap(this->registry.AddSummary(
          {"meadowthread_token_gap_seconds", "Time between tokens.", {}})),
      longest_gap(this->registry.AddSummary(
          {"meadowthread_longest_stall_seconds",
           "Longest time between two tokens of one answer.",
           {}})),
      preemptions(this->registry.AddGauge(
          {"meadowthread_engine_preemptions",
           "Preemptions since the engine's start, as reported.",
           {"engine"},
           kMaxEngines})),
      kv_used(this->registry.AddGauge(
          {"meadowthread_engine_kv_used_ratio",
           "Share of the engine's KV cache in use, as reported.",
           {"engine"},
           kMaxEngines})),
      state(this->registry.AddGauge(
          {"meadowthread_host_state", "State of this host.", {"what"}})) {}

void HostMetrics::OnSessionEnded(const SessionEnd& end) {
  const std::string outcome = end.outcome == Outcome::kNone
                                  ? "complete"
                                  : std::string(OutcomeName(end.outcome));
  const std::array<std::string, 2> labels = {end.workspace, outcome};
  const std::array<std::string, 1> workspace = {end.workspace};
  this->requests.With(labels).Add();
  this->tokens.With(workspace).Add(static_cast<std::uint64_t>(end.tokens));
  if (end.first_token_ms >= 0) {
    this->first_token.With(workspace).Record(
        static_cast<double>(end.first_token_ms) / kMsPerSecond);
    this->longest_gap.With().Record(static_cast<double>(end.longest_gap_ms) /
                                    kMsPerSecond);
  }
}

void HostMetrics::OnTokenGap(std::int64_t gap_ms) {
  this->token_gap.With().Record(static_cast<double>(gap_ms) / kMsPerSecond);
}

void HostMetrics::OnReport(const LoadReport& report) {
  const std::array<std::string, 1> engine = {report.engine};
  this->preemptions.With(engine).Set(static_cast<double>(report.preemptions));
  if (report.kv_capacity > 0) {
    this->kv_used.With(engine).Set(static_cast<double>(report.kv_used) /
                                   static_cast<double>(report.kv_capacity));
  }
}

void HostMetrics::SetState(std::string_view what, double value) {
  const std::array<std::string, 1> label = {std::string(what)};
  this->state.With(label).Set(value);
}

}  // namespace meadowthread
