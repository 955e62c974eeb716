// How often a request that ends nothing is taken for one that does: servers end
// in waves without a word, each with a sixth of them, and whoever was cut comes
// again at once.
#include <criterion/criterion.h>

#include <cmath>
#include <cstdint>
#include <random>
#include <string>

#include "quarantine/crash_record.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kStart = 1'790'000'000'000;
// As the fullest deployment knows it: 22 of 128 engines each 3.3 s.
constexpr double kWaveShare = 22.0 / 128.0;
constexpr double kWaveMs = 3'300.0;
// From sending to a stream's first event.
constexpr double kEarlyMs = 500.0;
// A report of the longest kind.
constexpr double kRunMs = 12'000.0;

/// @brief One content that comes again until it is served or in quarantine.
class Bystander {
 public:
  explicit Bystander(std::mt19937_64& random) : random(random) {}

  /// @return whether it was put in quarantine
  bool Come() {
    for (;;) {
      const double cut_ms = this->CutAfterMs();
      if (cut_ms >= kRunMs) {
        return false;
      }
      this->now_ms += cut_ms;
      CrashRecord end;
      end.ends = {{"s-" + std::to_string(++this->servers), cut_ms < kEarlyMs,
                   kStart + static_cast<std::int64_t>(this->now_ms)}};
      Merge(end, &this->record);
      if (Judge(this->record, end.ends[0].unix_ms).in_quarantine) {
        return true;
      }
    }
  }

 private:
  // When a wave takes its server; beyond its run where none does.
  double CutAfterMs() {
    double wave_ms = kWaveMs - std::fmod(this->now_ms, kWaveMs);
    while (wave_ms < kRunMs && this->Uniform() >= kWaveShare) {
      wave_ms += kWaveMs;
    }
    return wave_ms;
  }
  double Uniform() {
    return std::uniform_real_distribution<>(0.0, 1.0)(this->random);
  }

  std::mt19937_64& random;
  CrashRecord record;
  double now_ms = this->Uniform() * kWaveMs;
  int servers = 0;
};

// Three or four waves in a row that each take the server of the same request. A
// run of twelve seconds meets one with 1 - (1 - 0.17)^3.6 = 0.49: four in a row
// would be 0.06, though nearly nobody comes again four times.
Test(a_long_run_beside_waves, is_turned_away_at_most_once_in_sixteen) {
  constexpr int kContents = 20'000;
  std::mt19937_64 random(7);
  int quarantined = 0;
  for (int n = 0; n < kContents; ++n) {
    quarantined += Bystander(random).Come() ? 1 : 0;
  }
  cr_assert(quarantined <= kContents / 16, "%d of %d", quarantined, kContents);
}

}  // namespace
}  // namespace meadowthread
