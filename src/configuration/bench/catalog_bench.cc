// Measures memory and time of a host's configuration, by the number of
// workspaces and of workspaces per template. CI doesn't check the results.
#include <benchmark/benchmark.h>
#include <glog/logging.h>
#include <malloc.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/clock.h"
#include "configuration/replicated_view.h"
#include "configuration/service_catalog.h"
#include "configuration/template_object.h"

namespace meadowthread {
namespace {

constexpr std::array<std::string_view, 1> kKinds = {kTemplatesKind};
constexpr double kMicrosecondsPerSecond = 1e6;

std::string Yaml(std::int64_t number, std::int64_t workspaces) {
  std::string yaml = absl::StrCat(
      "name: t", number,
      "\nparameters: [urgency, adapter]\nmodels:\n"
      "  - {model: reconcile, adapter: \"${adapter}\", version: \"7\"}\n"
      "urgency: \"${urgency}\"\ndelivery: streamed\nnot_repeatable:\n"
      "  requests: keyed\n  services:\n"
      "    - {service: rounds, methods: [POST], path_prefix: /notes}\n"
      "limits: {requests_per_second: 5, tokens_per_second: 4000, concurrent: "
      "50, deadline_ms: 600000}\nworkspaces:\n");
  for (std::int64_t i = 0; i < workspaces; ++i) {
    const std::int64_t id = number * workspaces + i;
    absl::StrAppend(&yaml, "  - {workspace: w", id, ", key_sha256: [\"",
                    absl::StrFormat("%064x", id),
                    "\"], weight: 2, parameters: {urgency: urgent, adapter: a",
                    id % 100, "}}\n");
  }
  return yaml;
}

StoredObject Template(std::int64_t number, std::int64_t workspaces,
                      std::int64_t version) {
  TemplateObject object;
  object.current.yaml = Yaml(number, workspaces);
  object.current.operation = "op";
  for (std::size_t i = 0; i < kMaxHistory; ++i) {
    object.history.push_back(object.current);
  }
  return {"templates", absl::StrCat("t", number), version,
          TemplateToJson(object), false};
}

struct Host {
  ManualClock clock{0};
  ReplicatedView view{this->clock, kKinds};
  std::unique_ptr<ServiceCatalog> catalog;

  void Load(std::int64_t workspaces, std::int64_t workspaces_each) {
    ObjectList list;
    for (std::int64_t i = 0; i < workspaces / workspaces_each; ++i) {
      list.items.push_back(Template(i, workspaces_each, i + 1));
    }
    list.revision = static_cast<std::int64_t>(list.items.size());
    this->view.ApplyList("templates", 0, list, {1, "a"});
  }
};

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

// Start-up with a full view: bytes per workspace, and the time it takes.
void LoadAll(benchmark::State& state) {
  const std::int64_t workspaces = state.range(0);
  double view_bytes = 0;
  double catalog_bytes = 0;
  for (auto _ : state) {
    const double before = HeapBytes();
    Host host;
    host.Load(workspaces, state.range(1));
    const double with_view = HeapBytes();
    host.catalog = std::make_unique<ServiceCatalog>(host.view);
    catalog_bytes = HeapBytes() - with_view;
    view_bytes = with_view - before;
  }
  const auto count = static_cast<double>(workspaces);
  state.counters["view_B_per_ws"] = view_bytes / count;
  state.counters["catalog_B_per_ws"] = catalog_bytes / count;
  state.counters["total_MB"] = (view_bytes + catalog_bytes) / 1e6;
}

// One template changes, the others stay.
void ApplyChange(benchmark::State& state) {
  const std::int64_t each = state.range(1);
  Host host;
  host.Load(state.range(0), each);
  host.catalog = std::make_unique<ServiceCatalog>(host.view);
  StoredObject next = Template(0, each, 1'000'000);
  for (auto _ : state) {
    ++next.version;
    host.view.ApplyItems({&next, 1});
  }
  state.counters["us_per_ws"] =
      benchmark::Counter(static_cast<double>(each) / kMicrosecondsPerSecond,
                         benchmark::Counter::kIsIterationInvariantRate |
                             benchmark::Counter::kInvert);
}

// The share of ApplyChange that parses YAML.
void ParseOne(benchmark::State& state) {
  const std::string yaml = Yaml(0, state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(ParseTemplate(yaml, 1));
  }
  state.counters["bytes"] = static_cast<double>(yaml.size());
}

// The lookups made for one request: workspace by API key, then service.
void LookUp(benchmark::State& state) {
  Host host;
  host.Load(state.range(0), 83);
  host.catalog = std::make_unique<ServiceCatalog>(host.view);
  std::int64_t id = 0;
  for (auto _ : state) {
    id = (id + 7919) % state.range(0);
    const std::string key = absl::StrFormat("%064x", id);
    const std::string_view workspace = host.catalog->WorkspaceOfKey(key);
    benchmark::DoNotOptimize(host.catalog->Find(workspace, "reconcile"));
  }
}

void NothingNewDelta(benchmark::State& state) {
  Host host;
  host.Load(state.range(0), 83);
  const std::int64_t revision = host.view.Digest("templates").revision;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        host.view.DeltaSince("templates", revision, 1 << 20));
  }
}

BENCHMARK(LoadAll)
    ->Args({830, 83})
    ->Args({4150, 83})
    ->Args({8300, 10})
    ->Args({8300, 83})
    ->Args({8300, 830})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(ApplyChange)
    ->Args({830, 83})
    ->Args({4150, 83})
    ->Args({8300, 10})
    ->Args({8300, 83})
    ->Args({8300, 830})
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(ParseOne)->Arg(1)->Arg(10)->Arg(83)->Arg(830)->Unit(
    benchmark::kMicrosecond);
BENCHMARK(LookUp)->Arg(830)->Arg(8300);
BENCHMARK(NothingNewDelta)->Arg(8300);

}  // namespace
}  // namespace meadowthread

int main(int argc, char** argv) {
  FLAGS_minloglevel = google::WARNING;
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
