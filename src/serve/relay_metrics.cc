#include "serve/relay_metrics.h"

#include <array>

namespace meadowthread {
namespace {

constexpr double kMsPerSecond = 1000.0;

double Seconds(std::int64_t ms) {
  return static_cast<double>(ms) / kMsPerSecond;
}

}  // namespace

RelayMetrics::RelayMetrics()
    : requests(this->registry.AddCounter(
          {"meadowthread_relay_requests_total",
           "Requests by outcome.",
           {"route", "service", "outcome", "reason"}})),
      attempts(this->registry.AddCounter(
          {"meadowthread_relay_attempts_total",
           "Attempts to send requests to backend servers.",
           {"service"}})),
      moves(this->registry.AddCounter(
          {"meadowthread_relay_moves_total",
           "Streams that continued at another engine.",
           {"service"}})),
      refused(
          this->registry.AddCounter({"meadowthread_relay_entries_refused_total",
                                     "Reads of invalid documents in the store.",
                                     {"kind", "field"}})),
      first(this->registry.AddSummary(
          {"meadowthread_relay_first_seconds",
           "Time from arrival to the answer, or to a stream's first event.",
           {"route"}})),
      longest_gap(this->registry.AddSummary(
          {"meadowthread_relay_longest_gap_seconds",
           "Longest time between two events of one stream.",
           {"route"}})),
      total(this->registry.AddSummary(
          {"meadowthread_relay_total_seconds",
           "Time from arrival to the end of the request.",
           {"route"}})),
      state(this->registry.AddGauge(
          {"meadowthread_relay_state", "State of this host.", {"what"}})) {}

void RelayMetrics::OnRequestEnded(const RelayRequestSummary& end) {
  const std::array<std::string, 4> how = {end.route, end.service, end.outcome,
                                          end.reason};
  const std::array<std::string, 1> service = {end.service};
  const std::array<std::string, 1> route = {end.route};
  this->requests.With(how).Add();
  this->attempts.With(service).Add(static_cast<std::uint64_t>(end.attempts));
  this->moves.With(service).Add(static_cast<std::uint64_t>(end.moves));
  this->total.With(route).Record(Seconds(end.total_ms));
  if (end.first_ms >= 0) {
    this->first.With(route).Record(Seconds(end.first_ms));
  }
  if (end.longest_gap_ms >= 0) {
    this->longest_gap.With(route).Record(Seconds(end.longest_gap_ms));
  }
}

void RelayMetrics::OnInvalidDocumentRead(std::string_view kind,
                                         std::string_view field) {
  const std::array<std::string, 2> where = {std::string(kind),
                                            std::string(field)};
  this->refused.With(where).Add();
}

void RelayMetrics::SetState(std::string_view what, double value) {
  const std::array<std::string, 1> label = {std::string(what)};
  this->state.With(label).Set(value);
}

}  // namespace meadowthread
