#ifndef MEADOWTHREAD_METRICS_METRIC_FAMILY_H_
#define MEADOWTHREAD_METRICS_METRIC_FAMILY_H_

#include <algorithm>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "metrics/exposition.h"

namespace meadowthread {

/// @brief Name, help text, labels and maximum size of a metric family.
struct MetricSpec {
  std::string name;  ///< letters, digits and `_`
  std::string help;  ///< one line
  std::vector<std::string> label_names;
  /// Further label sets share one metric whose label values are all `other`.
  std::size_t max_label_sets = 100;
};

/// @brief Type-erased interface of a metric family: all time series of one
/// name.
class MetricFamilyBase {
 public:
  virtual ~MetricFamilyBase() = default;

  virtual std::string_view Name() const = 0;
  virtual void AppendText(std::string* out) const = 0;
  virtual void Rotate() = 0;

  /// @brief Number of With calls that returned the shared `other` metric.
  virtual std::uint64_t Overflows() const = 0;
};

/// @brief A metric family with one metric per label set.
template <typename Metric>
class MetricFamily final : public MetricFamilyBase {
 public:
  explicit MetricFamily(MetricSpec spec) : spec(std::move(spec)) {}

  /// @brief The metric of a label set, created on first use; the reference
  /// stays valid.
  /// @param[in] values one per label name, in the same order; missing ones are
  /// empty
  /// @complexity O(log label sets)
  Metric& With(std::span<const std::string> values = {}) {
    std::vector<std::string> key(values.begin(), values.end());
    key.resize(this->spec.label_names.size());
    const auto found = this->metrics.find(key);
    if (found != this->metrics.end()) {
      return found->second;
    }
    if (this->metrics.size() < this->spec.max_label_sets) {
      return this->metrics[key];
    }
    ++this->overflows;
    std::fill(key.begin(), key.end(), "other");
    return this->metrics[key];
  }

  std::string_view Name() const override { return this->spec.name; }
  std::uint64_t Overflows() const override { return this->overflows; }

  void AppendText(std::string* out) const override {
    constexpr const Metric* kNone = nullptr;
    detail::AppendHead(this->spec.name, this->spec.help, detail::TypeOf(kNone),
                       out);
    for (const auto& [values, metric] : this->metrics) {
      detail::AppendMetric(this->spec.name, this->LabelsOf(values), metric,
                           out);
    }
  }

  void Rotate() override {
    if constexpr (requires(Metric & metric) { metric.Rotate(); }) {
      for (auto& [values, metric] : this->metrics) {
        metric.Rotate();
      }
    }
  }

 private:
  std::vector<MetricLabel> LabelsOf(std::span<const std::string> values) const {
    std::vector<MetricLabel> labels;
    for (std::size_t i = 0; i < values.size(); ++i) {
      labels.push_back({this->spec.label_names[i], values[i]});
    }
    return labels;
  }

  MetricSpec spec;
  std::map<std::vector<std::string>, Metric> metrics;
  std::uint64_t overflows = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_METRICS_METRIC_FAMILY_H_
