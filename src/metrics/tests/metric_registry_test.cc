#include "metrics/metric_registry.h"

#include <criterion/criterion.h>

#include <array>
#include <string>

namespace meadowthread {
namespace {

using Values = std::array<std::string, 1>;

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

Test(the_metrics_page, writes_each_type_in_the_prometheus_format) {
  MetricRegistry registry;
  registry.AddSummary({"wait_ms", "Time in queue.", {}}).With().Record(2.5);
  registry.AddCounter({"requests_total", "Requests.", {"outcome"}})
      .With(Values{"complete"})
      .Add(12345678);
  registry.AddGauge({"streams", "Open streams.", {}}).With().Set(-4);
  const std::string text = registry.Text();
  cr_assert(
      text.starts_with("# HELP requests_total Requests.\n"
                       "# TYPE requests_total counter\n"
                       "requests_total{outcome=\"complete\"} 12345678\n"
                       "# HELP streams Open streams.\n"
                       "# TYPE streams gauge\n"
                       "streams -4\n"));
  cr_assert(Contains(text,
                     "# TYPE wait_ms summary\n"
                     "wait_ms{quantile=\"0.5\"} 2.5\n"));
  cr_assert(Contains(text, "wait_ms_sum 2.5\nwait_ms_count 1\n"));
}

Test(the_metrics_page, escapes_label_values) {
  MetricRegistry registry;
  registry.AddCounter({"c", "C.", {"workspace"}})
      .With(Values{"a\"b\\c\nd"})
      .Add();
  cr_assert(Contains(registry.Text(), "c{workspace=\"a\\\"b\\\\c\\nd\"} 1\n"));
}

Test(the_metrics_page, bounds_its_label_sets) {
  MetricRegistry registry;
  MetricFamily<Counter>& family =
      registry.AddCounter({"c", "C.", {"workspace"}, 2});
  for (const std::string workspace : {"a", "b", "c", "d", "a"}) {
    family.With(Values{workspace}).Add();
  }
  const std::string text = registry.Text();
  cr_assert(Contains(text,
                     "c{workspace=\"a\"} 2\nc{workspace=\"b\"} 1\n"
                     "c{workspace=\"other\"} 2\n"));
  cr_assert(!Contains(text, "workspace=\"d\""));
  cr_assert(Contains(text, "label_overflows_total{metric=\"c\"} 2\n"));
}

}  // namespace
}  // namespace meadowthread
