#ifndef MEADOWTHREAD_METRICS_EXPOSITION_H_
#define MEADOWTHREAD_METRICS_EXPOSITION_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "metrics/counter.h"
#include "metrics/summary.h"

namespace meadowthread {

/// @brief One label of a time series.
struct MetricLabel {
  std::string name;
  std::string value;
};

namespace detail {

/// @brief Appends the `# HELP` and `# TYPE` lines of a metric family.
void AppendHead(std::string_view name, std::string_view help,
                std::string_view type, std::string* out);

/// @name Append the sample lines of one metric
///@{
void AppendMetric(std::string_view name, std::span<const MetricLabel> labels,
                  const Counter& counter, std::string* out);
void AppendMetric(std::string_view name, std::span<const MetricLabel> labels,
                  const Gauge& gauge, std::string* out);
void AppendMetric(std::string_view name, std::span<const MetricLabel> labels,
                  const Summary& summary, std::string* out);
///@}

/// @name Names of the metric types in the text format
///@{
constexpr std::string_view TypeOf(const Counter*) { return "counter"; }
constexpr std::string_view TypeOf(const Gauge*) { return "gauge"; }
constexpr std::string_view TypeOf(const Summary*) { return "summary"; }
///@}

}  // namespace detail
}  // namespace meadowthread

#endif  // MEADOWTHREAD_METRICS_EXPOSITION_H_
