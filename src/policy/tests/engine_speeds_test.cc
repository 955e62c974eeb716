// How fast engines are compared with each other.
#include "policy/engine_speeds.h"

#include <criterion/criterion.h>

#include <cstdint>

#include "policy/token_gap_sampler.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kFastUs = 4'000;
constexpr std::int64_t kSlowUs = 9'000;
// A prompt beside it and a slow moment: about five times the typical time.
constexpr std::int64_t kPauseFactor = 5;

/// @brief Sixteen engines, of which every fourth one is fast, with measurements
/// of some seconds.
template <typename Observe>
void ObserveUnevenEngines(const Observe& observe, std::int64_t fast_us) {
  for (int second = 0; second < 100; ++second) {
    for (int engine = 0; engine < 16; ++engine) {
      const std::int64_t us = engine % 4 == 0 ? fast_us : kSlowUs;
      const bool is_stretched = second % 5 == 0;
      observe(engine, us, is_stretched ? kPauseFactor * us : 2 * us);
    }
  }
}

Test(engines_of_different_speed, are_told_apart) {
  EngineSpeeds speeds;
  ObserveUnevenEngines(
      [&](int engine, std::int64_t typical_us, std::int64_t longest_us) {
        cr_assert(speeds.Observe(static_cast<std::size_t>(engine), "m",
                                 {"", typical_us, longest_us}));
      },
      kFastUs);
  cr_assert(speeds.AreUneven());
  cr_assert(speeds.RelativeTime(1) == 1.0);
  cr_assert(speeds.RelativeTime(0) > 0.4 && speeds.RelativeTime(0) < 0.5);
  cr_assert(speeds.ExpectedPauseUs(1) > 4.0 * kSlowUs &&
            speeds.ExpectedPauseUs(1) < 6.0 * kSlowUs);
  cr_assert(speeds.ExpectedPauseUs(0) < 6.0 * kFastUs);
  cr_assert(speeds.RelativeTime(99) == 1.0, "an engine nobody has seen");
}

// Guards against choices that change where all engines are alike.
Test(engines_of_about_the_same_speed, count_as_equal) {
  EngineSpeeds speeds;
  ObserveUnevenEngines(
      [&](int engine, std::int64_t typical_us, std::int64_t longest_us) {
        speeds.Observe(static_cast<std::size_t>(engine), "m",
                       {"", typical_us, longest_us});
      },
      kSlowUs * 3 / 4);
  cr_assert(!speeds.AreUneven());
  cr_assert(speeds.RelativeTime(0) == 1.0);
  cr_assert(speeds.ExpectedPauseUs(1) == 0.0);
}

Test(an_engine_that_has_started_again, has_no_known_speed) {
  EngineSpeeds speeds;
  ObserveUnevenEngines(
      [&](int engine, std::int64_t typical_us, std::int64_t longest_us) {
        speeds.Observe(static_cast<std::size_t>(engine), "m",
                       {"", typical_us, longest_us});
      },
      kFastUs);
  speeds.Forget(0);
  cr_assert(speeds.RelativeTime(0) == 1.0);
  cr_assert(speeds.RelativeTime(4) < 0.5);
}

// Guards against a small model that makes the engines of a large one look slow.
Test(engines_of_several_models, are_not_compared) {
  EngineSpeeds speeds;
  ObserveUnevenEngines(
      [&](int engine, std::int64_t typical_us, std::int64_t longest_us) {
        speeds.Observe(static_cast<std::size_t>(engine),
                       engine % 4 == 0 ? "small" : "large",
                       {"", typical_us, longest_us});
      },
      kFastUs);
  cr_assert(!speeds.AreUneven() && speeds.RelativeTime(0) == 1.0);
}

// Measurements are sent once: each may be lost, late or doubled.
Test(lost_and_doubled_measurements, do_not_change_what_is_known_of_an_engine) {
  EngineSpeeds all;
  EngineSpeeds some;
  int message = 0;
  ObserveUnevenEngines(
      [&](int engine, std::int64_t typical_us, std::int64_t longest_us) {
        const auto index = static_cast<std::size_t>(engine);
        const SpeedObservation seen = {"", typical_us, longest_us};
        all.Observe(index, "m", seen);
        const int copies = ++message % 3;  // none, one or two arrive
        for (int copy = 0; copy < copies; ++copy) {
          some.Observe(index, "m", seen);
        }
      },
      kFastUs);
  for (const std::size_t engine : {0, 1, 14, 15}) {
    cr_assert(some.RelativeTime(engine) == all.RelativeTime(engine));
  }
}

// Guards against an engine that is slow for a moment being taken for slow.
Test(one_slow_moment, does_not_change_what_is_known_of_an_engine) {
  EngineSpeeds speeds;
  ObserveUnevenEngines(
      [&](int engine, std::int64_t typical_us, std::int64_t longest_us) {
        speeds.Observe(static_cast<std::size_t>(engine), "m",
                       {"", typical_us, longest_us});
      },
      kFastUs);
  const double before = speeds.RelativeTime(0);
  speeds.Observe(0, "m", {"", 5 * kFastUs / 2, 5 * kFastUs});
  cr_assert(speeds.RelativeTime(0) == before);
}

// Guards against measurements of a stalled host or of another unit.
Test(a_measurement_that_is_not_plausible, is_ignored) {
  EngineSpeeds speeds;
  cr_assert(!speeds.Observe(0, "m", {"", 0, 0}));
  cr_assert(!speeds.Observe(0, "m", {"", -5, 9'000}));
  cr_assert(!speeds.Observe(0, "m", {"", 9'000, 8'999}));
  cr_assert(!speeds.Observe(0, "m", {"", 1'000'000'000, 1'000'000'000}));
  cr_assert(speeds.Ignored() == 4);
}

Test(the_gaps_of_a_second, give_the_typical_and_the_longest_one) {
  TokenGapSampler gaps;
  std::int64_t now_ms = 0;
  for (int event = 0; event < 40; ++event) {
    const std::int64_t gap_ms = event % 2 == 0 ? 36 : 75;
    now_ms += gap_ms;
    gaps.Add(event == 7 ? 187 : gap_ms, 4, 4, now_ms);
  }
  const auto seen = gaps.Take(now_ms);
  cr_assert(seen.has_value());
  cr_assert(seen->typical_us == 9'000, "without a prompt beside it");
  cr_assert(seen->longest_us == 46'750);
  cr_assert(!gaps.Take(now_ms).has_value());
}

// Guards against gaps of a stream that ended long before.
Test(gaps_from_before_an_idle_time, are_dropped) {
  TokenGapSampler gaps;
  for (std::int64_t event = 1; event <= 6; ++event) {
    gaps.Add(10, 4, 4, 10 * event);
  }
  for (std::int64_t event = 1; event <= 20; ++event) {
    gaps.Add(36, 4, 4, 60'000 + 36 * event);
  }
  cr_assert(gaps.Take(61'000)->typical_us == 9'000);
}

Test(events_that_arrive_together, do_not_make_an_engine_look_fast) {
  TokenGapSampler gaps;
  for (std::int64_t batch = 1; batch <= 20; ++batch) {
    gaps.Add(72, 8, 4, 72 * batch);
  }
  const auto seen = gaps.Take(1'440);
  cr_assert(seen->typical_us == 9'000);
}

}  // namespace
}  // namespace meadowthread
