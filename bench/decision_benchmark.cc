// What one decision costs, and what the state behind it weighs.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "policy/baseline_choosers.h"
#include "policy/fleet_state.h"
#include "policy/length_model.h"
#include "policy/memory_aware_chooser.h"

namespace meadowthread::bench {
namespace {

constexpr int kModels = 16;
constexpr std::int64_t kCapacity = 60'000;
// 29,000 requests a second of some 30 s over 350 hosts.
constexpr int kOwnStreams = 2'500;
constexpr int kHosts = 350;

std::string Name(std::string_view prefix, int number) {
  return std::string(prefix) + std::to_string(number);
}

LoadReport ReportOf(int engine, std::int64_t now_ms) {
  LoadReport report;
  report.engine = Name("engine-", engine);
  report.incarnation = "1";
  report.as_of_unix_ms = now_ms;
  report.kv_capacity = kCapacity;
  report.kv_used = 20'000 + engine * 37 % 30'000;
  report.running = 30;
  report.models = {{Name("model-", engine % kModels), "", "1"}};
  return report;
}

WorkItem WorkOf(int number) {
  WorkItem work;
  work.request = Name("request-", number);
  work.workspace = Name("workspace-", number % 500);
  work.template_name = "report";
  work.model = Name("model-", number % kModels);
  work.version = "1";
  work.prompt_tokens = 700;
  work.max_output_tokens = 12'000;
  return work;
}

struct World {
  explicit World(int engines) : fleet(this->lengths) {
    for (int i = 0; i < engines; ++i) {
      this->fleet.SetEngine({Name("engine-", i), "z", true, false}, 0);
      this->fleet.ApplyReport(ReportOf(i, 0), 0);
    }
    std::vector<std::string> hosts;
    hosts.reserve(kHosts);
    for (int i = 0; i < kHosts; ++i) {
      hosts.push_back(Name("host-", i));
    }
    this->fleet.SetHosts("host-0", hosts);
    for (int i = 0; i < kOwnStreams; ++i) {
      const WorkItem work = WorkOf(i);
      this->lengths.Observe(LengthKeyOf(work), 200 + i % 3'000);
      const auto at = static_cast<int>(i * 7919LL % engines);
      this->fleet.NoteSent(work, Name("engine-", at), 0);
    }
  }

  LearnedLengthModel lengths;
  FleetState fleet;
};

void Decide(::benchmark::State& state, EngineChooser& chooser) {
  World world(static_cast<int>(state.range(0)));
  std::mt19937_64 random(1);
  std::vector<double> times;
  int number = 0;
  std::int64_t now_ms = 1'000;
  for (auto _ : state) {
    const WorkItem work = WorkOf(++number % 4'096);
    // Time moves on, so that forecasts age as they do in service.
    now_ms += 12;
    const auto from = std::chrono::steady_clock::now();
    Decision decision = chooser.Choose(work, world.fleet, now_ms, random());
    const auto to = std::chrono::steady_clock::now();
    ::benchmark::DoNotOptimize(decision);
    const std::chrono::duration<double> took = to - from;
    state.SetIterationTime(took.count());
    times.push_back(took.count());
  }
  std::sort(times.begin(), times.end());
  constexpr double kMicros = 1e6;
  state.counters["p50_us"] = times[times.size() / 2] * kMicros;
  state.counters["p99_us"] = times[times.size() * 99 / 100] * kMicros;
}

void MemoryAwareDecision(::benchmark::State& state) {
  MemoryAwareChooser chooser;
  Decide(state, chooser);
}

void LeastLoadDecision(::benchmark::State& state) {
  LeastLoadChooser chooser;
  Decide(state, chooser);
}

std::size_t InUse() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

void EngineMemory(::benchmark::State& state) {
  const auto engines = static_cast<int>(state.range(0));
  for (auto _ : state) {
    const std::size_t before = InUse();
    LearnedLengthModel lengths;
    FleetState fleet(lengths);
    for (int i = 0; i < engines; ++i) {
      fleet.SetEngine({Name("engine-", i), "z", true, false}, 0);
      fleet.ApplyReport(ReportOf(i, 0), 0);
    }
    state.counters["bytes_per_engine"] =
        static_cast<double>(InUse() - before) / engines;
  }
}

void LengthMemory(::benchmark::State& state) {
  const auto keys = static_cast<int>(state.range(0));
  for (auto _ : state) {
    const std::size_t before = InUse();
    LearnedLengthModel lengths;
    for (int i = 0; i < keys; ++i) {
      const LengthKey key{Name("workspace-", i), "report", "model-1"};
      lengths.Observe(key, 500);
      ::benchmark::DoNotOptimize(lengths.CurveOf(key));
    }
    state.counters["bytes_per_key"] =
        static_cast<double>(InUse() - before) / keys;
  }
}

void TokenNote(::benchmark::State& state) {
  World world(12'000);
  std::vector<std::string> requests;
  requests.reserve(kOwnStreams);
  for (int i = 0; i < kOwnStreams; ++i) {
    requests.push_back(Name("request-", i));
  }
  std::int64_t tokens = 0;
  for (auto _ : state) {
    ++tokens;
    world.fleet.NoteTokens(
        requests[static_cast<std::size_t>(tokens) % requests.size()],
        tokens / kOwnStreams, 10);
  }
}

BENCHMARK(MemoryAwareDecision)
    ->Arg(14)
    ->Arg(1'000)
    ->Arg(12'000)
    ->UseManualTime()
    ->Iterations(20'000);
BENCHMARK(LeastLoadDecision)
    ->Arg(14)
    ->Arg(12'000)
    ->UseManualTime()
    ->Iterations(5'000);
BENCHMARK(EngineMemory)->Arg(1'000)->Arg(12'000)->Iterations(1);
BENCHMARK(LengthMemory)->Arg(1'000)->Arg(8'300)->Iterations(1);
BENCHMARK(TokenNote);

}  // namespace
}  // namespace meadowthread::bench

BENCHMARK_MAIN();
