#include <malloc.h>

#include <cstdio>

#include "exchange/bench/bench_runs.h"
#include "exchange/bench/fleets.h"

namespace meadowthread::bench {
namespace {

constexpr std::size_t kValueBytes = 700;
constexpr double kMeanChanges = 35000.0 / 86400.0;
constexpr double kBurstChanges = 10.0;
constexpr std::int64_t kWarmUpMs = 20 * kSecondMs;
constexpr std::int64_t kMaxWaitMs = 300 * kSecondMs;
constexpr std::uint64_t kSeed = 17;

StoredObject TemplateOf(int item, std::int64_t version) {
  return fake::ObjectOf(kTemplatesKind, absl::StrCat("template-", item),
                        version, std::string(kValueBytes, 'x'));
}

std::size_t HeapBytes() { return mallinfo2().uordblks; }

void Load(fake::FakeFleet* fleet, int items) {
  ObjectList all{items, {}};
  for (int item = 1; item <= items; ++item) {
    all.items.push_back(TemplateOf(item, item));
  }
  for (int host = 0; host < fleet->Size(); ++host) {
    fleet->At(host).view.ApplyList(kTemplatesKind, 0, all, {});
  }
}

/// Provides the maximum number of load notes, as a busy host does.
class BusyHost final : public LoadSource, public LoadSink {
 public:
  std::vector<EngineLoadNote> NotesFor(std::string_view /*peer*/,
                                       std::size_t limit) override {
    std::vector<EngineLoadNote> notes;
    for (std::size_t note = 0; note < limit; ++note) {
      notes.push_back(EngineLoadNote{absl::StrCat("engine-", note), "", 12,
                                     48000, fake::kStartMs});
    }
    return notes;
  }
  void OnNotes(std::string_view /*host*/,
               std::span<const EngineLoadNote> /*notes*/) override {}
};

/// Parameters of a row: fleet size, number of objects and rate of changes.
struct Row {
  int hosts;
  int items;
  double changes_per_s;
  bool loads = false;
};

StoredObject Change(fake::FakeFleet* fleet, const Row& row, int seconds) {
  const int changes = static_cast<int>(row.changes_per_s * seconds);
  StoredObject last = TemplateOf(1, 1);
  const std::int64_t start_ms = fleet->clock.MonotonicMs();
  for (int change = 0; change < changes; ++change) {
    const auto due_ms = static_cast<std::int64_t>(
        static_cast<double>(kSecondMs * change) / row.changes_per_s);
    fleet->Run(start_ms + due_ms - fleet->clock.MonotonicMs());
    last = TemplateOf(1 + change % row.items, row.items + 1 + change);
    fleet->At(change % fleet->Size()).ReceiveFromStore(last);
  }
  fleet->Run(start_ms + seconds * kSecondMs - fleet->clock.MonotonicMs());
  return last;
}

void RunRow(const Row& row, int seconds) {
  const std::size_t heap_before = HeapBytes();
  const fake::FleetShape shape = ShapeOf(row.hosts);
  fake::FakeFleet fleet(shape, {}, kSeed);
  SetDelays(&fleet, shape);
  Load(&fleet, row.items);
  BusyHost busy;
  for (int host = 0; row.loads && host < row.hosts; ++host) {
    fleet.At(host).exchanger.EnableLoadNotes(&busy, &busy);
  }
  fleet.Run(kWarmUpMs);
  const FleetTotals before = TotalsOf(&fleet);
  const double micros_before = ProcessorMicros();
  const StoredObject last = Change(&fleet, row, seconds);
  const double micros = ProcessorMicros() - micros_before;
  const FleetTotals after = TotalsOf(&fleet);
  const std::size_t heap = HeapBytes() - heap_before;
  const std::int64_t end_ms = fleet.clock.MonotonicMs();
  const bool is_held = fleet.RunUntilHeld(0, last, kMaxWaitMs);
  const double host_seconds = static_cast<double>(row.hosts) * seconds;
  const auto calls = static_cast<double>(after.calls - before.calls);
  std::printf(
      "%d,%d,%.3f,%d,%.2f,%.0f,%.0f,%.1f,%.4f,%.0f,%ld\n", row.hosts, row.items,
      row.changes_per_s, row.loads ? 1 : 0, calls / host_seconds,
      static_cast<double>(after.body_bytes - before.body_bytes) / host_seconds,
      static_cast<double>(after.bytes - before.bytes) / host_seconds,
      micros / calls, micros / host_seconds / 1e4,
      static_cast<double>(heap) / row.hosts,
      is_held ? static_cast<long>(fleet.clock.MonotonicMs() - end_ms)  // NOLINT
              : -1L);
  std::fflush(stdout);
}

void RunRestartRow(int hosts, int items) {
  constexpr int kRestarted = 1;
  const fake::FleetShape shape = ShapeOf(hosts);
  fake::FakeFleet fleet(shape, {}, kSeed);
  SetDelays(&fleet, shape);
  Load(&fleet, items);
  fleet.Run(kWarmUpMs);
  fleet.StartHost(kRestarted);
  const FleetTotals before = TotalsOf(&fleet);
  const double micros_before = ProcessorMicros();
  const std::int64_t start_ms = fleet.clock.MonotonicMs();
  const bool has_all = fleet.RunUntil(
      [&fleet] { return fleet.At(kRestarted).exchanger.HasCaughtUp(); },
      kMaxWaitMs);
  std::printf("%d,%d,%ld,%.1f,%ld\n", hosts, items,
              has_all ? static_cast<long>(fleet.clock.MonotonicMs() -  // NOLINT
                                          start_ms)
                      : -1L,
              (ProcessorMicros() - micros_before) / kSecondMs,
              static_cast<long>(  // NOLINT
                  (TotalsOf(&fleet).body_bytes - before.body_bytes) / 2));
  std::fflush(stdout);
}

}  // namespace

void RunRestart() {
  std::printf("hosts,items,ms_until_caught_up,cpu_ms_fleet,body_bytes\n");
  for (const int items : {10, 1000, 8300}) {
    RunRestartRow(9, items);
    RunRestartRow(50, items);
  }
}

void RunCost(int seconds) {
  std::printf(
      "hosts,items,changes_per_s,loads,calls_per_s_a_host,body_bytes_per_s_a_"
      "host,"
      "bytes_per_s_a_host,cpu_us_a_call,cpu_percent_a_host,heap_bytes_a_host,"
      "ms_until_last_change_is_everywhere\n");
  for (const double changes : {0.0, kMeanChanges, kBurstChanges}) {
    for (const int hosts : {9, 50, 150, 350}) {
      RunRow({hosts, 1000, changes}, seconds);
    }
    for (const int items : {10, 8300}) {
      RunRow({9, items, changes}, seconds);
      RunRow({50, items, changes}, seconds);
    }
    for (const int hosts : {9, 50, 350}) {
      RunRow({hosts, 1000, changes, true}, seconds);
    }
  }
}

}  // namespace meadowthread::bench
