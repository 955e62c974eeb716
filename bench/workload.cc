#include "workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <span>

namespace meadowthread::bench {
namespace {

// In a rush, work that comes in rushes comes this much faster; between them
// slower, so that the mean stays.
constexpr double kRushFactor = 1.6;
constexpr double kRushPart = 0.4;
constexpr std::int64_t kRushPeriodUs = 240'000'000;
constexpr std::int64_t kMicrosPerMs = 1'000;

constexpr LengthShape kLongReport{1'100.0, 0.7, 0.06, 1.3, 12'000};
constexpr LengthShape kReportPrompt{700.0, 0.5, 0.0, 1.5, 4'000};
constexpr LengthShape kTag{14.0, 0.5, 0.0, 1.5, 80};
constexpr LengthShape kTagPrompt{180.0, 0.3, 0.0, 1.5, 600};
constexpr LengthShape kNote{45.0, 0.5, 0.02, 1.5, 400};
constexpr LengthShape kNotePrompt{250.0, 0.3, 0.0, 1.5, 800};
constexpr LengthShape kSummary{300.0, 0.9, 0.03, 1.4, 6'000};

std::int64_t Draw(const LengthShape& shape, std::mt19937_64& random) {
  std::uniform_real_distribution<double> unit(0.0, 1.0);
  std::lognormal_distribution<double> body(std::log(shape.median), shape.sigma);
  double value = body(random);
  if (unit(random) < shape.tail_part) {
    value = shape.median / std::pow(1.0 - unit(random), 1.0 / shape.tail_alpha);
  }
  return std::clamp<std::int64_t>(static_cast<std::int64_t>(value), 1,
                                  shape.most);
}

// About ten workspaces, the first few of them large.
void Spread(std::vector<TemplateMix>& mixes, const TemplateMix& base,
            std::span<const double> parts) {
  for (std::size_t i = 0; i < parts.size(); ++i) {
    TemplateMix mix = base;
    mix.workspace = "w" + std::to_string(i);
    mix.part = base.part * parts[i];
    // Workspaces differ in how long their outputs are.
    mix.output.median *= 0.7 + 0.1 * static_cast<double>(i % 7);
    mixes.push_back(mix);
  }
}

constexpr std::array<double, 10> kWorkspaceParts = {
    0.30, 0.22, 0.16, 0.08, 0.06, 0.05, 0.04, 0.04, 0.03, 0.02};

double RushNow(std::int64_t at_us) {
  const auto phase = static_cast<double>(at_us % kRushPeriodUs) /
                     static_cast<double>(kRushPeriodUs);
  constexpr double kCalm = (1.0 - kRushFactor * kRushPart) / (1.0 - kRushPart);
  return phase < kRushPart ? kRushFactor : kCalm;
}

WorkItem WorkOf(const TemplateMix& mix, std::size_t index, std::size_t number,
                std::mt19937_64& random) {
  WorkItem work;
  work.request = std::to_string(number);
  work.workspace = mix.workspace;
  work.template_name = mix.template_name;
  work.model = "m";
  work.version = "1";
  work.prompt_tokens = Draw(mix.prompt, random) + mix.prefix_tokens;
  work.max_output_tokens = mix.output.most;
  work.urgency = mix.urgency;
  work.prefix_hash = mix.prefix_tokens > 0 ? index + 1 : 0;
  return work;
}

}  // namespace

Deployment Lukot() {
  Deployment deployment;
  deployment.name = "lukot";
  deployment.engines = 14;
  deployment.weights = {3.0, 1.0, 1.0};
  Spread(deployment.mixes,
         {"", "report", Urgency::kNormal, 0.30, kReportPrompt, kLongReport,
          true, 120'000, 300},
         kWorkspaceParts);
  Spread(
      deployment.mixes,
      {"", "tag", Urgency::kUrgent, 0.60, kTagPrompt, kTag, false, 20'000, 100},
      kWorkspaceParts);
  Spread(deployment.mixes,
         {"", "summary", Urgency::kBatch, 0.10, kReportPrompt, kSummary, false,
          300'000, 0},
         kWorkspaceParts);
  return deployment;
}

Deployment LacteaNorte() {
  Deployment deployment;
  deployment.name = "lactea";
  deployment.engines = 12;
  deployment.weights = {1.0, 3.0, 1.0};
  LengthShape rejection = kLongReport;
  rejection.median = 1'500.0;
  rejection.sigma = 0.6;
  Spread(deployment.mixes,
         {"", "rejection", Urgency::kNormal, 0.25, kReportPrompt, rejection,
          false, 120'000, 300},
         kWorkspaceParts);
  Spread(deployment.mixes,
         {"", "note", Urgency::kUrgent, 0.65, kNotePrompt, kNote, false, 20'000,
          100},
         kWorkspaceParts);
  Spread(deployment.mixes,
         {"", "summary", Urgency::kBatch, 0.10, kReportPrompt, kSummary, true,
          300'000, 0},
         kWorkspaceParts);
  return deployment;
}

double MeanOutput(const Deployment& deployment) {
  constexpr int kDraws = 20'000;
  std::mt19937_64 random(1);
  double mean = 0.0;
  for (const TemplateMix& mix : deployment.mixes) {
    double sum = 0.0;
    for (int i = 0; i < kDraws; ++i) {
      sum += static_cast<double>(Draw(mix.output, random));
    }
    mean += mix.part * sum / kDraws;
  }
  return mean;
}

std::vector<Arrival> MakeArrivals(const Deployment& deployment,
                                  double tokens_per_second,
                                  std::int64_t duration_us,
                                  std::uint64_t seed) {
  constexpr double kMicros = 1e6;
  const double rate = tokens_per_second / MeanOutput(deployment) / kMicros;
  std::mt19937_64 random(seed);
  std::vector<Arrival> arrivals;
  for (std::size_t i = 0; i < deployment.mixes.size(); ++i) {
    const TemplateMix& mix = deployment.mixes[i];
    const double most = rate * mix.part * (mix.in_rush ? kRushFactor : 1.0);
    std::exponential_distribution<double> gap(most);
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    double at = gap(random);
    for (; at < static_cast<double>(duration_us); at += gap(random)) {
      // Thinning: the rate follows the rush.
      const auto at_us = static_cast<std::int64_t>(at);
      if (mix.in_rush && unit(random) > RushNow(at_us) / kRushFactor) {
        continue;
      }
      arrivals.push_back({at_us, Draw(mix.output, random), i, {}});
    }
  }
  std::sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.at_us < b.at_us; });
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    Arrival& arrival = arrivals[i];
    const TemplateMix& mix = deployment.mixes[arrival.mix];
    arrival.work = WorkOf(mix, arrival.mix, i, random);
    arrival.work.arrived_ms = arrival.at_us / kMicrosPerMs;
    arrival.work.deadline_ms = arrival.work.arrived_ms + mix.deadline_ms;
  }
  return arrivals;
}

}  // namespace meadowthread::bench
