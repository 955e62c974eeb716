#include <algorithm>
#include <cstdio>
#include <random>
#include <vector>

#include "exchange/bench/bench_runs.h"
#include "exchange/bench/fleets.h"

namespace meadowthread::bench {
namespace {

constexpr std::int64_t kWarmUpMs = 30 * kSecondMs;
constexpr std::int64_t kBetweenMs = 3 * kSecondMs;
constexpr std::int64_t kMaxWaitMs = 60 * kSecondMs;
constexpr std::uint64_t kSeed = 11;

enum class Frozen { kNone, kThirdLongAgo, kThirdJustNow };

const char* NameOf(Frozen frozen) {
  switch (frozen) {
    case Frozen::kNone:
      return "none";
    case Frozen::kThirdLongAgo:
      return "third";
    case Frozen::kThirdJustNow:
      return "third_just_now";
  }
  return "";
}

/// A combination of settings for propagating changes.
struct Variant {
  const char* name;
  bool push_to_behind;
  int push_fanout;
};

constexpr Variant kVariants[] = {
    {"periodic", false, 0},
    {"periodic+versions_on_answers", true, 0},
    {"news_at_once", false, 3},
    {"news_at_once+versions_on_answers", true, 3},
};

void FreezeThird(fake::FakeFleet* fleet) {
  for (int host = 0; host < fleet->Size() / 3; ++host) {
    fleet->network.Freeze(fleet->NameOf(host));
  }
}

void ThawAll(fake::FakeFleet* fleet) {
  for (int host = 0; host < fleet->Size(); ++host) {
    fleet->network.Thaw(fleet->NameOf(host));
  }
}

std::vector<std::int64_t> TimesOf(fake::FakeFleet* fleet, Frozen frozen,
                                  int trials) {
  const int first = frozen == Frozen::kNone ? 0 : fleet->Size() / 3;
  if (frozen == Frozen::kThirdLongAgo) {
    FreezeThird(fleet);
  }
  fleet->Run(kWarmUpMs);
  std::mt19937_64 random(kSeed);
  std::uniform_int_distribution<int> draw(first, fleet->Size() - 1);
  std::vector<std::int64_t> times;
  for (int trial = 1; trial <= trials; ++trial) {
    if (frozen == Frozen::kThirdJustNow) {
      FreezeThird(fleet);
    }
    const StoredObject mark = fake::ObjectOf(kMarksKind, "pasig-4", trial);
    const std::int64_t start_ms = fleet->clock.MonotonicMs();
    fleet->At(draw(random)).ReceiveFromStore(mark);
    fleet->RunUntilHeld(first, mark, kMaxWaitMs);
    times.push_back(fleet->clock.MonotonicMs() - start_ms);
    if (frozen == Frozen::kThirdJustNow) {
      ThawAll(fleet);
      fleet->Run(kWarmUpMs);
    }
    fleet->Run(kBetweenMs);
  }
  std::sort(times.begin(), times.end());
  return times;
}

void RunRow(const Variant& variant, int hosts, Frozen frozen, int trials) {
  ExchangeSettings settings;
  settings.push_to_behind = variant.push_to_behind;
  settings.push_fanout = variant.push_fanout;
  const fake::FleetShape shape = ShapeOf(hosts);
  fake::FakeFleet fleet(shape, settings, kSeed);
  SetDelays(&fleet, shape);
  const std::int64_t start_ms = fleet.clock.MonotonicMs();
  const std::vector<std::int64_t> times = TimesOf(&fleet, frozen, trials);
  const auto seconds =
      static_cast<double>(fleet.clock.MonotonicMs() - start_ms) / kSecondMs;
  const std::size_t p95 = (times.size() * 95 + 99) / 100 - 1;
  std::printf("%s,%d,%s,%zu,%ld,%ld,%ld,%.0f\n", variant.name, hosts,
              NameOf(frozen), times.size(),
              static_cast<long>(times[times.size() / 2]),  // NOLINT
              static_cast<long>(times[p95]),               // NOLINT
              static_cast<long>(times.back()),             // NOLINT
              static_cast<double>(TotalsOf(&fleet).bytes) / seconds / hosts);
  std::fflush(stdout);
}

}  // namespace

void RunConsistency(int trials) {
  std::printf(
      "variant,hosts,frozen,trials,median_ms,p95_ms,max_ms,"
      "bytes_per_s_a_host\n");
  for (const int hosts : {9, 50, 150, 350}) {
    for (const Frozen frozen :
         {Frozen::kNone, Frozen::kThirdLongAgo, Frozen::kThirdJustNow}) {
      for (const Variant& variant : kVariants) {
        RunRow(variant, hosts, frozen, trials);
      }
    }
  }
}

}  // namespace meadowthread::bench
