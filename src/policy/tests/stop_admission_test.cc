// Which requests a host that shuts down may still send to a server.
#include "policy/stop_admission.h"

#include <criterion/criterion.h>

#include <array>

namespace meadowthread {
namespace {

constexpr std::int64_t kNowMs = 100'000;

struct FixedStopView final : StopView {
  std::int64_t ReturnAfterMs() const override { return 700; }
};

/// @brief 160 tokens on a route that allows pauses of 45 ms a token.
StreamForecast ShortReport() {
  StreamForecast stream;
  stream.max_output_tokens = 160;
  stream.remaining_ms = 39'000;
  stream.prefill_ms = 300;
  stream.max_token_gap_us = 45'000;
  return stream;
}

Test(a_stream_at_a_measured_engine, may_find_it_twice_as_slow_later) {
  StreamForecast stream = ShortReport();
  stream.pace = TokenPace{8'000, 10'000};
  cr_assert(MaxStreamMs(stream) == 1'000 + 160 * 16);
  stream.pace = TokenPace{8'000, 30'000};
  cr_assert(MaxStreamMs(stream) == 1'000 + 160 * 30);
}

Test(a_stream_at_an_engine_that_was_not_measured, may_take_what_is_allowed) {
  StreamForecast stream = ShortReport();
  cr_assert(MaxStreamMs(stream) == 1'000 + 160 * 45);
  stream.max_token_gap_us = 0;
  cr_assert(MaxStreamMs(stream) == 39'000, "until its deadline");
}

Test(a_stream, takes_no_longer_than_until_its_deadline) {
  StreamForecast stream = ShortReport();
  stream.remaining_ms = 2'000;
  cr_assert(MaxStreamMs(stream) == 2'000);
  stream.max_output_tokens = std::int64_t{1} << 62;
  cr_assert(MaxStreamMs(stream) == 2'000);
  stream.max_output_tokens = 0;
  cr_assert(MaxStreamMs(stream) == 2'000, "it may generate any number");
}

Test(a_stream, waits_for_the_prompts_ahead_of_it) {
  StreamForecast stream = ShortReport();
  stream.prefill_ms = 900;
  cr_assert(MaxStreamMs(stream) == 1'800 + 160 * 45);
}

Test(a_call, takes_up_to_twice_the_slowest_recent_one) {
  const CallForecast usual{8'000, 150, 100};
  cr_assert(MaxCallMs(usual) == 600);
  const CallForecast slow{8'000, 150, 2'000};
  cr_assert(MaxCallMs(slow) == 4'000);
  const CallForecast unknown{8'000, 150, std::nullopt};
  cr_assert(MaxCallMs(unknown) == 8'000, "no call was measured");
}

Test(the_slowest_recent_call, is_forgotten_after_twenty_seconds) {
  RecentCallDurations calls;
  cr_assert(!calls.Slowest("a", kNowMs).has_value());
  calls.Note("a", 900, kNowMs);
  calls.Note("a", 100, kNowMs + 10'000);
  cr_assert(calls.Slowest("a", kNowMs + 10'000) == 900);
  cr_assert(!calls.Slowest("b", kNowMs + 10'000).has_value());
  calls.Note("a", 100, kNowMs + 20'000);
  cr_assert(calls.Slowest("a", kNowMs + 20'000) == 100);
  cr_assert(!calls.Slowest("a", kNowMs + 40'000).has_value());
}

Test(a_stop, allows_what_ends_before_it_whatever_its_grace) {
  const FixedStopView view;
  for (const std::int64_t grace_ms : std::array{2'000, 6'000, 8'000, 30'000}) {
    StopAdmission stop;
    cr_assert(stop.Allows(kNowMs, 100'000), "it has not begun");
    stop.Begin(kNowMs + grace_ms, view);
    cr_assert(stop.Allows(kNowMs, grace_ms - 1));
    cr_assert(!stop.Allows(kNowMs, grace_ms));
    cr_assert(stop.ReturnAfterMs() == 700);
  }
}

}  // namespace
}  // namespace meadowthread
