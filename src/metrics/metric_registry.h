#ifndef MEADOWTHREAD_METRICS_METRIC_REGISTRY_H_
#define MEADOWTHREAD_METRICS_METRIC_REGISTRY_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "metrics/metric_family.h"

namespace meadowthread {

/// @brief Every metric of a process, for `/metrics`.
///
/// For one thread. Families live as long as the registry; each name is added
/// once.
class MetricRegistry {
 public:
  MetricFamily<Counter>& AddCounter(const MetricSpec& spec);
  MetricFamily<Gauge>& AddGauge(const MetricSpec& spec);
  MetricFamily<Summary>& AddSummary(const MetricSpec& spec);

  /// @brief All families in the usual text format, by name.
  std::string Text() const;

  /// @brief Starts a new window of all quantiles; call it once a minute.
  void Rotate();

 private:
  template <typename Metric>
  MetricFamily<Metric>& Add(const MetricSpec& spec);
  void AppendOverflows(std::string* out) const;

  std::vector<std::unique_ptr<MetricFamilyBase>> families;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_METRICS_METRIC_REGISTRY_H_
