#ifndef MEADOWTHREAD_SERVE_HOST_METRICS_H_
#define MEADOWTHREAD_SERVE_HOST_METRICS_H_

#include <string>

#include "gateway/session_dependencies.h"
#include "metrics/metric_registry.h"

namespace meadowthread {

/// @brief The metrics of an entry host, served at `/metrics`.
class HostMetrics final : public SessionObserver {
 public:
  HostMetrics();

  void OnSessionEnded(const SessionEnd& end) override;
  void OnTokenGap(std::int64_t gap_ms) override;

  /// @brief Updates an engine's gauges from its load report.
  void OnReport(const LoadReport& report);

  /// @brief Sets a gauge of the host's own state.
  void SetState(std::string_view what, double value);

  std::string Text() const { return this->registry.Text(); }
  void Rotate() { this->registry.Rotate(); }

 private:
  MetricRegistry registry;
  MetricFamily<Counter>& requests;
  MetricFamily<Counter>& tokens;
  MetricFamily<Summary>& first_token;
  MetricFamily<Summary>& token_gap;
  MetricFamily<Summary>& longest_gap;
  MetricFamily<Gauge>& preemptions;
  MetricFamily<Gauge>& kv_used;
  MetricFamily<Gauge>& state;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_HOST_METRICS_H_
