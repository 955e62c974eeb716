// Requests to servers that name a rate, which need a permit each.

// Criterion's macros break Abseil's headers if those are included after it.
// clang-format off
#include "relay/call_session.h"
// clang-format on

#include <criterion/criterion.h>

#include <memory>

#include "relay/stream_session.h"
#include "relay/tests/relay_fixture.h"

namespace meadowthread {
namespace {

using testing::FakeCaller;
using testing::RelayFixture;

constexpr std::int64_t kPermitRetryMs = 700;

/// @brief One call to a service whose servers name a rate, but for the last.
struct LimitedCallFixture : RelayFixture {
  LimitedCallFixture(int servers, int limited) : RelayFixture(servers) {
    for (int n = 1; n <= limited; ++n) {
      this->permits.limited.insert(absl::StrCat("s-", n));
    }
  }
  void Begin(ExecutionRule rule) {
    RelayRequest request;
    request.id = "r-1";
    request.method = "GET";
    request.target = "/x";
    request.begun_ms = this->clock.MonotonicMs();
    RelayTerms terms;
    terms.route = "route";
    terms.service = "svc";
    terms.rule = rule;
    terms.timeout_ms = 1'000;
    terms.target_latency_ms = 100;
    terms.max_attempts = 3;
    this->session = std::make_unique<CallSession>(
        this->deps, std::move(request), std::move(terms),
        [this](const absl::StatusOr<HttpResponse>& with) {
          this->result = with;
          ++this->results;
        });
    this->session->Begin();
  }
  ErrorDetail Failure() const { return DetailOf(this->result.status()); }

  std::unique_ptr<CallSession> session;
  absl::StatusOr<HttpResponse> result = absl::UnknownError("none");
  int results = 0;
};

Test(a_call_to_a_server_that_names_a_rate, is_sent_with_a_permit) {
  LimitedCallFixture fixture(1, 1);
  fixture.Begin(ExecutionRule::kOnce);
  cr_assert(fixture.client.sent.empty() && fixture.permits.asked.size() == 1);
  fixture.permits.Grant();
  cr_assert(fixture.client.sent.size() == 1);
  cr_assert(fixture.permits.calls_ended.empty());
  fixture.client.Answer(0, 200, "done");
  cr_assert(fixture.result.ok() && fixture.results == 1);
  cr_assert(fixture.permits.calls_ended["s-1"] == 1);
}

Test(a_call_that_got_no_permit, goes_to_another_server) {
  LimitedCallFixture fixture(2, 1);
  while (fixture.permits.asked.empty()) {
    fixture.Begin(ExecutionRule::kOnce);
  }
  const std::size_t sent = fixture.client.sent.size();
  fixture.permits.RefuseFor(kPermitRetryMs);
  cr_assert(fixture.client.sent.size() == sent + 1);
  cr_assert(fixture.ServerOf(sent) == "s-2");
}

Test(a_call_that_no_server_has_room_for, is_refused_at_once_as_not_run) {
  LimitedCallFixture fixture(2, 2);
  fixture.Begin(ExecutionRule::kOnce);
  fixture.permits.RefuseFor(kPermitRetryMs);
  fixture.permits.RefuseFor(kPermitRetryMs + 100);
  cr_assert(fixture.results == 1 && fixture.client.sent.empty());
  cr_assert(fixture.Failure().outcome == Outcome::kNotRun);
  cr_assert(fixture.Failure().id == ErrorId::kOverloaded);
  cr_assert(fixture.Failure().retry_after_ms == kPermitRetryMs,
            "the caller is told when the first server has room");
}

Test(a_call, asks_no_server_whose_permits_are_used_up) {
  LimitedCallFixture fixture(1, 1);
  fixture.permits.exhausted_ms["s-1"] = kPermitRetryMs;
  fixture.Begin(ExecutionRule::kOnce);
  cr_assert(fixture.permits.asked.empty() && fixture.results == 1);
  cr_assert(fixture.Failure().retry_after_ms == kPermitRetryMs);
}

// A retry or a hedge would take the place of another caller's first attempt.
Test(a_retry, is_not_sent_to_a_server_that_names_a_rate) {
  LimitedCallFixture fixture(2, 0);
  fixture.Begin(ExecutionRule::kRepeatable);
  fixture.permits.limited = {fixture.ServerOf(0) == "s-1" ? "s-2" : "s-1"};
  fixture.Advance(250);
  cr_assert(fixture.client.sent.size() == 1, "no hedge");
  fixture.client.Answer(0, 500, "broken");
  cr_assert(fixture.client.sent.size() == 1 && fixture.permits.asked.empty());
  cr_assert(fixture.result->http_status == 500);
}

Test(a_call_whose_server_was_unreachable, may_still_ask_for_a_permit) {
  LimitedCallFixture fixture(2, 0);
  fixture.Begin(ExecutionRule::kOnce);
  fixture.permits.limited = {fixture.ServerOf(0) == "s-1" ? "s-2" : "s-1"};
  fixture.client.Break(0, false);
  cr_assert(fixture.results == 0 && fixture.permits.asked.size() == 1);
  fixture.permits.Grant();
  fixture.client.Answer(1, 200, "done");
  cr_assert(fixture.result.ok());
}

Test(a_call_at_its_deadline, does_not_wait_for_a_permit) {
  LimitedCallFixture fixture(1, 1);
  fixture.Begin(ExecutionRule::kOnce);
  fixture.Advance(1'000);
  cr_assert(fixture.results == 1);
  cr_assert(fixture.Failure().outcome == Outcome::kNotRun);
  fixture.permits.Grant();
  cr_assert(fixture.client.sent.empty() && fixture.results == 1);
  cr_assert(fixture.permits.calls_ended["s-1"] == 1, "the permit is released");
}

Test(a_call_that_is_abandoned, uses_no_permit_that_comes_later) {
  LimitedCallFixture fixture(1, 1);
  fixture.Begin(ExecutionRule::kOnce);
  fixture.session->Abandon();
  fixture.permits.Grant();
  cr_assert(fixture.client.sent.empty());
  cr_assert(fixture.permits.calls_ended["s-1"] == 1, "the permit is released");
}

Test(a_call_that_is_abandoned, releases_the_permit_of_its_attempt) {
  LimitedCallFixture fixture(1, 1);
  fixture.Begin(ExecutionRule::kOnce);
  fixture.permits.Grant();
  fixture.session->Abandon();
  cr_assert(fixture.permits.calls_ended["s-1"] == 1);
}

/// @brief One stream to engines that all name a rate.
struct LimitedStreamFixture : RelayFixture {
  explicit LimitedStreamFixture(int servers) : RelayFixture(servers) {
    for (int n = 1; n <= servers; ++n) {
      this->permits.limited.insert(absl::StrCat("s-", n));
    }
    // As the host does.
    this->chooser.SetEngineFilter([this](const EngineView& view) {
      return this->permits.ExhaustedForMs(view.engine, Urgency::kUrgent) <= 0;
    });
  }
  void Begin() {
    RelayRequest request;
    request.id = "r-1";
    request.begun_ms = this->clock.MonotonicMs();
    request.generation = GenerationSize{"m", 100, 40, 0};
    RelayTerms terms;
    terms.route = "report";
    terms.service = "svc";
    terms.rule = ExecutionRule::kStream;
    terms.timeout_ms = 20'000;
    terms.target_latency_ms = 1'500;
    this->session = std::make_unique<StreamSession>(
        this->deps, this->stream_deps, this->control, this->callers,
        std::move(request), std::move(terms), 4, this->caller.TakeWriter(),
        [this] { this->ended = true; });
    this->session->Begin();
  }

  FakeCaller caller;
  std::unique_ptr<StreamSession> session;
  bool ended = false;
};

Test(a_stream_to_an_engine_that_names_a_rate, is_sent_with_a_permit) {
  LimitedStreamFixture fixture(1);
  fixture.Begin();
  cr_assert(fixture.client.sent.empty() && fixture.permits.asked.size() == 1);
  fixture.permits.Grant();
  cr_assert(fixture.client.sent.size() == 1);
}

Test(a_stream_that_got_no_permit, asks_for_one_of_another_engine) {
  LimitedStreamFixture fixture(2);
  fixture.Begin();
  fixture.permits.RefuseFor(kPermitRetryMs);
  cr_assert(fixture.permits.asked.size() == 2 &&
            fixture.permits.asked[0] != fixture.permits.asked[1]);
  fixture.permits.Grant();
  cr_assert(fixture.client.sent.size() == 1);
}

Test(a_stream_that_no_engine_has_room_for, is_refused_at_once) {
  LimitedStreamFixture fixture(2);
  fixture.Begin();
  fixture.permits.RefuseFor(kPermitRetryMs);
  fixture.permits.RefuseFor(kPermitRetryMs);
  cr_assert(fixture.ended && fixture.client.sent.empty());
  cr_assert(fixture.caller.Got().find("503") != std::string::npos ||
            fixture.caller.Got().find("429") != std::string::npos);
  cr_assert(fixture.caller.Got().find("Retry-After") != std::string::npos);
}

Test(a_stream_whose_caller_left, uses_no_permit_that_comes_later) {
  LimitedStreamFixture fixture(1);
  fixture.Begin();
  fixture.session->EndForShutdown(100);
  fixture.permits.Grant();
  cr_assert(fixture.client.sent.empty());
}

}  // namespace
}  // namespace meadowthread
