#ifndef MEADOWTHREAD_METRICS_METRIC_REGISTRY_H_
#define MEADOWTHREAD_METRICS_METRIC_REGISTRY_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "metrics/metric_family.h"

namespace meadowthread {

/// @brief All metrics of a process, served at `/metrics`.
///
/// Not thread-safe. Families live as long as the registry; each name may be
/// added only once.
class MetricRegistry {
 public:
  MetricFamily<Counter>& AddCounter(const MetricSpec& spec);
  MetricFamily<Gauge>& AddGauge(const MetricSpec& spec);
  MetricFamily<Summary>& AddSummary(const MetricSpec& spec);

  /// @brief All families in the Prometheus text format, sorted by name.
  std::string Text() const;

  /// @brief Starts a new quantile window in all summaries; to be called once a
  /// minute.
  void Rotate();

 private:
  template <typename Metric>
  MetricFamily<Metric>& Add(const MetricSpec& spec);
  void AppendOverflows(std::string* out) const;

  std::vector<std::unique_ptr<MetricFamilyBase>> families;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_METRICS_METRIC_REGISTRY_H_
