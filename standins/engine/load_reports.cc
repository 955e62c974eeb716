#include "engine/load_reports.h"

#include <algorithm>

namespace meadowthread::standins {
namespace {

constexpr std::int64_t kMinReportIntervalMs = 20;

}  // namespace

void LoadReports::Note(const EngineLoad& load, std::int64_t now_ms) {
  const bool too_soon =
      !this->reports.empty() &&
      now_ms - this->reports.back().as_of_ms < kMinReportIntervalMs;
  if (too_soon) {
    return;
  }
  this->reports.push_back({now_ms, load});
  // Keep the newest report older than the lag; earlier ones are no longer used.
  while (this->reports.size() > 1 &&
         this->reports[1].as_of_ms <= now_ms - this->lag_ms) {
    this->reports.pop_front();
  }
}

LoadReport LoadReports::At(std::int64_t now_ms) const {
  if (this->reports.empty()) {
    return {now_ms, {}};
  }
  LoadReport shown = this->reports.front();
  for (const LoadReport& report : this->reports) {
    if (report.as_of_ms <= now_ms - this->lag_ms) {
      shown = report;
    }
  }
  return shown;
}

}  // namespace meadowthread::standins
