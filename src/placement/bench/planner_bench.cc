#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "placement/planner.h"

namespace meadowthread {
namespace {

constexpr int kZones = 16;
constexpr int kSlotsPerEngine = 2;

std::vector<ModelDemand> NeedModels(int count) {
  std::vector<ModelDemand> needed;
  needed.reserve(count);
  for (int model = 0; model < count; ++model) {
    needed.push_back({{"model-" + std::to_string(model), "", "1"}});
  }
  return needed;
}

/// Engines that hold the needed models, except for one in 100, which is empty.
std::vector<PlacedEngine> PlaceEngines(int count,
                                       const std::vector<ModelDemand>& needed) {
  std::vector<PlacedEngine> engines(count);
  for (int index = 0; index < count; ++index) {
    PlacedEngine& engine = engines[index];
    engine.name = "engine-" + std::to_string(index);
    engine.zone = "zone-" + std::to_string(index % kZones);
    engine.capacity = kSlotsPerEngine;
    engine.reported.role = "mixed";
    const bool is_empty = index % 100 == 99;
    for (int slot = 0; slot < kSlotsPerEngine && !is_empty; ++slot) {
      const std::size_t model =
          (index * kSlotsPerEngine + slot) % needed.size();
      engine.reported.models.push_back(needed[model].key);
    }
  }
  return engines;
}

void BenchmarkPlan(benchmark::State& state, int loads) {
  const std::vector<ModelDemand> needed = NeedModels(16);
  const std::vector<PlacedEngine> engines =
      PlaceEngines(static_cast<int>(state.range(0)), needed);
  PlannerInput input;
  input.needed = needed;
  input.engines = engines;
  input.load_budget = loads;
  input.urgent_load_budget = loads;
  for (auto unused : state) {
    benchmark::DoNotOptimize(MakePlan(PlannerSettings{}, input));
  }
}

void NothingToLoad(benchmark::State& state) { BenchmarkPlan(state, 0); }
void TwoLoads(benchmark::State& state) { BenchmarkPlan(state, 2); }
void TwentyLoads(benchmark::State& state) { BenchmarkPlan(state, 20); }

BENCHMARK(NothingToLoad)->Arg(14)->Arg(188)->Arg(1'000)->Arg(12'000);
BENCHMARK(TwoLoads)->Arg(14)->Arg(188)->Arg(1'000)->Arg(12'000);
BENCHMARK(TwentyLoads)->Arg(14)->Arg(188)->Arg(1'000)->Arg(12'000);

}  // namespace
}  // namespace meadowthread

BENCHMARK_MAIN();
