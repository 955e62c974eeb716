#include "metrics/metric_registry.h"

#include <glog/logging.h>

#include <algorithm>

namespace meadowthread {
namespace {

constexpr std::string_view kOverflowName =
    "meadowthread_metric_label_overflows_total";

}  // namespace

template <typename Metric>
MetricFamily<Metric>& MetricRegistry::Add(const MetricSpec& spec) {
  const auto place =
      std::lower_bound(this->families.begin(), this->families.end(), spec.name,
                       [](const auto& family, const std::string& name) {
                         return family->Name() < name;
                       });
  const bool is_duplicate =
      place != this->families.end() && (*place)->Name() == spec.name;
  // Parsers reject the whole page if two families have the same name.
  CHECK(!is_duplicate) << "metric added twice: " << spec.name;
  auto family = std::make_unique<MetricFamily<Metric>>(spec);
  MetricFamily<Metric>& added = *family;
  this->families.insert(place, std::move(family));
  return added;
}

MetricFamily<Counter>& MetricRegistry::AddCounter(const MetricSpec& spec) {
  return this->Add<Counter>(spec);
}

MetricFamily<Gauge>& MetricRegistry::AddGauge(const MetricSpec& spec) {
  return this->Add<Gauge>(spec);
}

MetricFamily<Summary>& MetricRegistry::AddSummary(const MetricSpec& spec) {
  return this->Add<Summary>(spec);
}

std::string MetricRegistry::Text() const {
  std::string text;
  for (const auto& family : this->families) {
    family->AppendText(&text);
  }
  this->AppendOverflows(&text);
  return text;
}

void MetricRegistry::Rotate() {
  for (const auto& family : this->families) {
    family->Rotate();
  }
}

void MetricRegistry::AppendOverflows(std::string* out) const {
  detail::AppendHead(kOverflowName,
                     "Label sets that were counted as 'other', by metric.",
                     "counter", out);
  for (const auto& family : this->families) {
    if (family->Overflows() > 0) {
      const MetricLabel label = {"metric", std::string(family->Name())};
      Counter overflows;
      overflows.Add(family->Overflows());
      detail::AppendMetric(kOverflowName, {&label, 1}, overflows, out);
    }
  }
}

}  // namespace meadowthread
