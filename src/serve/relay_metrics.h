#ifndef MEADOWTHREAD_SERVE_RELAY_METRICS_H_
#define MEADOWTHREAD_SERVE_RELAY_METRICS_H_

#include <string>
#include <string_view>

#include "metrics/metric_registry.h"
#include "relay/relay_observer.h"

namespace meadowthread {

/// @brief The metrics of a relay host, served at its metrics port.
class RelayMetrics final : public RelayObserver {
 public:
  RelayMetrics();

  void OnRequestEnded(const RelayRequestSummary& end) override;

  /// @brief Counts a read of an invalid document in the store.
  /// @param[in] kind object kind of the document
  /// @param[in] field invalid field; empty if the document cannot be parsed
  void OnInvalidDocumentRead(std::string_view kind, std::string_view field);

  /// @brief Sets a gauge of the host's own state.
  void SetState(std::string_view what, double value);

  std::string Text() const { return this->registry.Text(); }
  void Rotate() { this->registry.Rotate(); }

 private:
  MetricRegistry registry;
  MetricFamily<Counter>& requests;
  MetricFamily<Counter>& attempts;
  MetricFamily<Counter>& moves;
  MetricFamily<Counter>& refused;
  MetricFamily<Summary>& first;
  MetricFamily<Summary>& longest_gap;
  MetricFamily<Summary>& total;
  MetricFamily<Gauge>& state;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_RELAY_METRICS_H_
