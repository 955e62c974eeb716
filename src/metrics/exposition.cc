#include "metrics/exposition.h"

#include <array>
#include <charconv>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "base/absl_view.h"

namespace meadowthread::detail {
namespace {

std::string Escaped(std::string_view value) {
  return absl::StrReplaceAll(AbslView(value),
                             {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

/// The shortest decimal text that parses back to the same number.
std::string NumberText(double value) {
  std::array<char, 32> text{};
  const std::to_chars_result end =
      std::to_chars(text.data(), text.data() + text.size(), value);
  return {text.data(), end.ptr};
}

void AppendSeries(std::string_view name, std::span<const MetricLabel> labels,
                  double value, std::string* out) {
  out->append(name);
  std::string_view separator = "{";
  for (const MetricLabel& label : labels) {
    absl::StrAppend(out, std::string(separator), label.name, "=\"",
                    Escaped(label.value), "\"");
    separator = ",";
  }
  absl::StrAppend(out, labels.empty() ? "" : "}", " ", NumberText(value), "\n");
}

}  // namespace

void AppendHead(std::string_view name, std::string_view help,
                std::string_view type, std::string* out) {
  const std::string name_text(name);
  absl::StrAppend(out, "# HELP ", name_text, " ", std::string(help), "\n");
  absl::StrAppend(out, "# TYPE ", name_text, " ", std::string(type), "\n");
}

void AppendMetric(std::string_view name, std::span<const MetricLabel> labels,
                  const Counter& counter, std::string* out) {
  AppendSeries(name, labels, static_cast<double>(counter.Total()), out);
}

void AppendMetric(std::string_view name, std::span<const MetricLabel> labels,
                  const Gauge& gauge, std::string* out) {
  AppendSeries(name, labels, gauge.Value(), out);
}

void AppendMetric(std::string_view name, std::span<const MetricLabel> labels,
                  const Summary& summary, std::string* out) {
  std::vector<MetricLabel> with_quantile(labels.begin(), labels.end());
  with_quantile.push_back({"quantile", ""});
  for (std::size_t i = 0; i < kSummaryQuantiles.size(); ++i) {
    with_quantile.back().value = NumberText(kSummaryQuantiles.at(i));
    AppendSeries(name, with_quantile, summary.Quantile(i), out);
  }
  const std::string name_text(name);
  AppendSeries(name_text + "_sum", labels, summary.Sum(), out);
  AppendSeries(name_text + "_count", labels,
               static_cast<double>(summary.Count()), out);
}

}  // namespace meadowthread::detail
