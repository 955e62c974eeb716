#include "measures.h"

#include <algorithm>
#include <cstddef>

namespace meadowthread::bench {
namespace {

constexpr std::size_t kGapBuckets = 4'000;
constexpr std::int64_t kMicrosPerMs = 1'000;
constexpr double kMicrosPerSecond = 1e6;

double Quantile95(std::vector<double>& values) {
  if (values.empty()) {
    return 0.0;
  }
  const std::size_t at = values.size() * 95 / 100;
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(at),
                   values.end());
  return values[at];
}

}  // namespace

Measures::Measures() : gaps(kGapBuckets) {}

void Measures::Refused(const WorkItem& work) {
  if (this->on) {
    ++this->result.refused;
    this->result.urgent_refused += work.urgency == Urgency::kUrgent ? 1 : 0;
  }
}

void Measures::First(const Arrival& arrival, std::int64_t now_us) {
  if (!this->on) {
    return;
  }
  ++this->result.begun;
  const double wait_ms =
      static_cast<double>(now_us - arrival.at_us) / kMicrosPerMs;
  const bool urgent = arrival.work.urgency == Urgency::kUrgent;
  (urgent ? this->urgent_waits : this->other_waits).push_back(wait_ms);
}

void Measures::Gap(std::int64_t gap_us) {
  if (!this->on) {
    return;
  }
  const auto bucket = static_cast<std::size_t>(gap_us / kMicrosPerMs);
  ++this->gaps[std::min(bucket, kGapBuckets - 1)];
  ++this->gap_count;
  if (gap_us > kStallAfterUs) {
    this->result.stall_s +=
        static_cast<double>(gap_us - kStallAfterUs) / kMicrosPerSecond;
  }
}

void Measures::Completed(std::int64_t tokens) {
  if (this->on) {
    ++this->result.completed;
    this->completed_tokens += tokens;
  }
}

double Measures::GapQuantile(double part) const {
  const auto wanted =
      static_cast<std::int64_t>(static_cast<double>(this->gap_count) * part);
  std::int64_t seen = 0;
  for (std::size_t i = 0; i < kGapBuckets; ++i) {
    if (seen + this->gaps[i] > wanted) {
      const double inside = static_cast<double>(wanted - seen) /
                            static_cast<double>(this->gaps[i]);
      return static_cast<double>(i) + inside;
    }
    seen += this->gaps[i];
  }
  return static_cast<double>(kGapBuckets);
}

RunResult Measures::Summary(std::int64_t measured_us) {
  this->result.tokens_per_s = static_cast<double>(this->completed_tokens) *
                              kMicrosPerSecond /
                              static_cast<double>(measured_us);
  this->result.gap_p95_ms = this->GapQuantile(0.95);
  this->result.gap_p99_ms = this->GapQuantile(0.99);
  this->result.urgent_wait_p95_ms = Quantile95(this->urgent_waits);
  this->result.report_wait_p95_ms = Quantile95(this->other_waits);
  return this->result;
}

}  // namespace meadowthread::bench
