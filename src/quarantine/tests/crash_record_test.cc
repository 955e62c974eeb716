// Verdicts on request contents that servers crashed on, and merging of records.
#include "quarantine/crash_record.h"

#include <criterion/criterion.h>

#include <string>

namespace meadowthread {
namespace {

constexpr std::int64_t kStart = 1'790'000'000'000;
constexpr std::int64_t kMinute = 60'000;
constexpr std::int64_t kDay = 86'400'000;

struct Fixture {
  /// @brief A server crashes while it runs the content.
  /// @param[in] at_ms milliseconds since kStart
  void Crash(std::int64_t at_ms, bool before_any_answer = true) {
    CrashRecord crash = this->record;
    crash.crashes = {{"s-" + std::to_string(++this->servers), before_any_answer,
                      kStart + at_ms}};
    Merge(crash, &this->record);
  }
  bool IsQuarantined(std::int64_t at_ms) const {
    return Judge(this->record, kStart + at_ms).in_quarantine;
  }
  std::int64_t RemainingQuarantineMs(std::int64_t at_ms) const {
    return Judge(this->record, kStart + at_ms).until_ms - kStart - at_ms;
  }

  CrashRecord record;
  int servers = 0;
};

Test(a_content_that_crashes_servers, is_in_quarantine_after_three_crashes) {
  Fixture fixture;
  for (const std::int64_t at_ms : {0, 700, 1'400}) {
    cr_assert_not(fixture.IsQuarantined(at_ms));
    fixture.Crash(at_ms);
  }
  cr_assert(fixture.IsQuarantined(1'400));
}

Test(a_content_that_crashes_servers, is_charged_once_per_server) {
  Fixture fixture;
  fixture.Crash(0);
  for (int n = 0; n < 5; ++n) {
    CrashRecord same = fixture.record;
    same.crashes[0].unix_ms += n;
    cr_assert_not(Merge(same, &fixture.record), "nothing new");
  }
  cr_assert_not(fixture.IsQuarantined(10));
}

// A request that had already produced output was more likely running on the
// same server as the request that crashed it.
Test(a_content_with_output_before_the_crash, needs_one_crash_more) {
  Fixture fixture;
  for (const std::int64_t at_ms : {0, 700, 1'400}) {
    fixture.Crash(at_ms, false);
  }
  cr_assert_not(fixture.IsQuarantined(1'400));
  fixture.Crash(2'100, false);
  cr_assert(fixture.IsQuarantined(2'100));
}

Test(a_content_that_completes, is_no_longer_suspected) {
  Fixture fixture;
  fixture.Crash(0);
  fixture.Crash(700);
  fixture.record.cleared_ms = kStart + 900;
  fixture.Crash(1'400);
  fixture.Crash(2'100);
  cr_assert_not(fixture.IsQuarantined(2'100));
  cr_assert(fixture.record.crashes.size() == 2,
            "the cleared ones were dropped");
  fixture.Crash(2'800);
  cr_assert(fixture.IsQuarantined(2'800));
}

Test(a_content_that_crashes_servers, is_not_charged_for_crashes_long_ago) {
  Fixture fixture;
  fixture.Crash(0);
  fixture.Crash(700);
  fixture.Crash(12 * kMinute);
  cr_assert_not(fixture.IsQuarantined(12 * kMinute));
}

// The engine may have been fixed during the quarantine. If it was not, one
// server crashes at the end of each quarantine, at intervals that double.
Test(a_quarantine, ends_and_returns_after_one_crash_for_twice_as_long) {
  Fixture fixture;
  for (const std::int64_t at_ms : {0, 700, 1'400}) {
    fixture.Crash(at_ms);
  }
  const std::int64_t first_ms = fixture.RemainingQuarantineMs(1'400);
  cr_assert(first_ms == 10 * kMinute);
  const std::int64_t over_ms = 1'400 + first_ms;
  cr_assert(fixture.IsQuarantined(over_ms - 1));
  cr_assert_not(fixture.IsQuarantined(over_ms));
  fixture.Crash(over_ms + 500);
  cr_assert(fixture.IsQuarantined(over_ms + 500));
  cr_assert(fixture.RemainingQuarantineMs(over_ms + 500) == 2 * first_ms);
}

// Runs that had begun before the quarantine may still crash their servers
// during it.
Test(a_quarantine, is_not_prolonged_by_runs_that_had_begun_before_it) {
  Fixture fixture;
  for (const std::int64_t at_ms : {0, 700, 1'400, 1'500, 1'600}) {
    fixture.Crash(at_ms);
  }
  cr_assert(Judge(fixture.record, kStart + 1'600).strikes == 1);
  cr_assert(fixture.RemainingQuarantineMs(1'400) == 10 * kMinute);
}

Test(a_quarantine, lasts_for_most_of_a_day_at_most) {
  Fixture fixture;
  std::int64_t at_ms = 0;
  for (int n = 0; n < 40; ++n) {
    fixture.Crash(at_ms);
    at_ms += fixture.IsQuarantined(at_ms) ? fixture.RemainingQuarantineMs(at_ms)
                                          : 700;
  }
  cr_assert(fixture.IsQuarantined(at_ms - 1));
  fixture.Crash(at_ms);
  cr_assert(fixture.RemainingQuarantineMs(at_ms) <= kDay);
  cr_assert(fixture.record.crashes.size() <= 16, "bounded");
}

Test(an_operator, puts_a_content_in_quarantine_and_lifts_it) {
  Fixture fixture;
  fixture.Crash(0);
  fixture.record.kept_ms = kStart + 100;
  cr_assert(fixture.IsQuarantined(60 * kMinute));
  fixture.record.cleared_ms = kStart + 60 * kMinute;
  cr_assert_not(fixture.IsQuarantined(60 * kMinute));
}

Test(merging, gives_the_same_record_in_any_order) {
  Fixture fixture;
  for (const std::int64_t at_ms : {0, 700, 1'400}) {
    fixture.Crash(at_ms);
  }
  fixture.record.cleared_ms = kStart + 100;
  CrashRecord forward;
  CrashRecord backward;
  const std::vector<ServerCrash> ends = fixture.record.crashes;
  for (std::size_t n = 0; n < ends.size(); ++n) {
    CrashRecord one;
    one.crashes = {ends[n]};
    Merge(one, &forward);
    one.crashes = {ends[ends.size() - 1 - n]};
    one.cleared_ms = n == 1 ? fixture.record.cleared_ms : 0;
    Merge(one, &backward);
  }
  Merge(backward, &forward);
  Merge(forward, &backward);
  cr_assert(forward.crashes == backward.crashes);
  cr_assert(forward.cleared_ms == backward.cleared_ms);
}

}  // namespace
}  // namespace meadowthread
