#ifndef MEADOWTHREAD_SERVE_RELAY_METRICS_H_
#define MEADOWTHREAD_SERVE_RELAY_METRICS_H_

#include <string>
#include <string_view>

#include "metrics/metric_registry.h"
#include "relay/relay_observer.h"

namespace meadowthread {

/// @brief What a relay host counts, for its metrics address.
class RelayMetrics final : public RelayObserver {
 public:
  RelayMetrics();

  void OnRequestEnded(const RelayRequestSummary& end) override;

  /// @brief A document of the store was read that names nothing to use.
  /// @param[in] field at fault, empty where the document's bytes are
  void OnEntryRefused(std::string_view kind, std::string_view field);

  /// @brief Sets a gauge of the host itself.
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
