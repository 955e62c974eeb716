// How often a harmless request is quarantined by mistake if servers stop
// unannounced in waves, a sixth of them at a time, and interrupted requests are
// retried at once.
#include <criterion/criterion.h>

#include <cmath>
#include <cstdint>
#include <random>
#include <string>

#include "quarantine/crash_record.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kStart = 1'790'000'000'000;
// As in the most loaded deployment: 22 of 128 engines every 3.3 s.
constexpr double kWaveShare = 22.0 / 128.0;
constexpr double kWavePeriodMs = 3'300.0;
// Time from sending a request to the first event of its stream.
constexpr double kFirstEventMs = 500.0;
// Duration of the longest kind of generation, one that writes a report.
constexpr double kRunMs = 12'000.0;

/// @brief A harmless request that is retried until it is completed or in
/// quarantine.
class HarmlessRequest {
 public:
  explicit HarmlessRequest(std::mt19937_64& random) : random(random) {}

  /// @return whether it was put in quarantine
  bool RunUntilDone() {
    for (;;) {
      const double interrupted_ms = this->MsUntilInterrupted();
      if (interrupted_ms >= kRunMs) {
        return false;
      }
      this->now_ms += interrupted_ms;
      CrashRecord crash;
      crash.crashes = {{"s-" + std::to_string(++this->servers),
                        interrupted_ms < kFirstEventMs,
                        kStart + static_cast<std::int64_t>(this->now_ms)}};
      Merge(crash, &this->record);
      if (Judge(this->record, crash.crashes[0].unix_ms).in_quarantine) {
        return true;
      }
    }
  }

 private:
  // Time until a wave ends the request's server; kRunMs or more if none does.
  double MsUntilInterrupted() {
    double wave_ms = kWavePeriodMs - std::fmod(this->now_ms, kWavePeriodMs);
    while (wave_ms < kRunMs && this->Uniform() >= kWaveShare) {
      wave_ms += kWavePeriodMs;
    }
    return wave_ms;
  }
  double Uniform() {
    return std::uniform_real_distribution<>(0.0, 1.0)(this->random);
  }

  std::mt19937_64& random;
  CrashRecord record;
  double now_ms = this->Uniform() * kWavePeriodMs;
  int servers = 0;
};

// A false positive takes three or four successive attempts at a request that
// each lose their server to a wave. A run of twelve seconds spans 3.6 waves and
// loses its server with a probability of 1 - (1 - 0.17)^3.6 = 0.49. Four
// successive runs lose theirs with a probability of 0.06; few callers retry
// four times.
Test(a_long_run_among_waves, is_quarantined_at_most_once_in_sixteen) {
  constexpr int kContents = 20'000;
  std::mt19937_64 random(7);
  int quarantined = 0;
  for (int n = 0; n < kContents; ++n) {
    quarantined += HarmlessRequest(random).RunUntilDone() ? 1 : 0;
  }
  cr_assert(quarantined <= kContents / 16, "%d of %d", quarantined, kContents);
}

}  // namespace
}  // namespace meadowthread
