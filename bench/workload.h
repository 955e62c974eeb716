#ifndef MEADOWTHREAD_BENCH_WORKLOAD_H_
#define MEADOWTHREAD_BENCH_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fake_engine.h"
#include "policy/memory_aware_chooser.h"
#include "policy/work_item.h"

namespace meadowthread::bench {

/// @brief Lengths drawn log-normally, with a part drawn from a Pareto tail.
struct LengthShape {
  double median = 100.0;
  double sigma = 0.5;
  double tail_part = 0.0;   ///< of draws
  double tail_alpha = 1.5;  ///< Pareto's exponent, from the median on
  std::int64_t most = 12'000;
};

/// @brief One template of one workspace.
struct TemplateMix {
  std::string workspace;
  std::string template_name;
  Urgency urgency = Urgency::kNormal;
  double part = 0.0;  ///< of all requests
  LengthShape prompt;
  LengthShape output;
  bool in_rush = false;  ///< comes in a rush rather than evenly
  std::int64_t deadline_ms = 120'000;
  std::int64_t prefix_tokens = 0;
};

/// @brief One users' deployment.
struct Deployment {
  std::string name;
  int engines = 0;
  EngineShape shape;
  PolicyWeights weights;
  std::vector<TemplateMix> mixes;
};

/// @brief One request with its true length.
struct Arrival {
  std::int64_t at_us = 0;
  std::int64_t output = 1;
  std::size_t mix = 0;
  WorkItem work;
};

/// @brief Lukot Linen Routing Fleet: long daily reports in a rush, short tags
/// all day, 14 engines.
Deployment Lukot();

/// @brief Collection Rounds Router Fleet: long rejection reports, short
/// notes, 12 engines.
Deployment LacteaNorte();

/// @brief Mean output tokens of a request, by drawing.
double MeanOutput(const Deployment& deployment);

/// @brief Arrivals over `duration_us` at a mean of `tokens_per_second` output.
std::vector<Arrival> MakeArrivals(const Deployment& deployment,
                                  double tokens_per_second,
                                  std::int64_t duration_us, std::uint64_t seed);

}  // namespace meadowthread::bench

#endif  // MEADOWTHREAD_BENCH_WORKLOAD_H_
