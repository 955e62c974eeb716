// Streams and calls at a relay whose host shuts down.

// Criterion's macros break Abseil's headers if those are included after it.
// clang-format off
#include "relay/relay.h"
// clang-format on

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

#include "relay/tests/relay_fixture.h"

namespace meadowthread {
namespace {

using testing::FakeCaller;
using testing::RelayFixture;

constexpr std::int64_t kEventMs = 90;
constexpr std::int64_t kTokensPerEvent = 4;

/// @brief Reads every request as the one that the test has set.
struct FixedCallerProtocol final : CallerProtocol {
  absl::StatusOr<RelayRequest> Read(const ServerRequest&) const override {
    return this->next;
  }
  ServerResponse Answer(const Problem& problem) const override {
    return ProblemResponse(problem);
  }
  RelayRequest next;
};

struct FixedStopView final : StopView {
  std::int64_t ReturnAfterMs() const override { return 700; }
};

/// @brief A relay with a route for streams, /stream/, whose events may be
/// 180 ms apart, and one for calls, /call/. Both allow 30 s.
struct StoppingRelayFixture : RelayFixture {
  explicit StoppingRelayFixture(int servers) : RelayFixture(servers) {
    RoutingConfig made;
    RouteRule stream;
    stream.name = "stream";
    stream.host = "a.example";
    stream.path_prefix = "/stream/";
    stream.rule = ExecutionRule::kStream;
    stream.timeout_ms = 30'000;
    stream.target_latency_ms = 1'800;
    stream.max_event_gap_ms = 180;
    stream.services = {{"svc", 1}};
    RouteRule call = stream;
    call.name = "call";
    call.path_prefix = "/call/";
    call.rule = ExecutionRule::kOnce;
    call.target_latency_ms = 150;
    call.max_event_gap_ms = 0;
    made.routes = {stream, call};
    ServiceRule service;
    service.name = "svc";
    service.engine = EngineTraits{};
    service.engine->tokens_per_event = kTokensPerEvent;
    made.services = {service};
    this->config.Activate(std::move(made), 1);
  }

  FakeCaller& Ask(std::string_view path, std::int64_t max_tokens) {
    RelayRequest request;
    request.id = absl::StrCat("r-", this->asked.size());
    request.host = "a.example";
    request.path = std::string(path);
    request.target = request.path;
    request.begun_ms = this->clock.MonotonicMs();
    if (max_tokens > 0) {
      request.generation = GenerationSize{"m", 100, max_tokens, 0};
    }
    this->protocol.next = request;
    this->asked.push_back(std::make_unique<FakeCaller>());
    FakeCaller& caller = *this->asked.back();
    this->relay.Serve({}, caller.TakeWriter());
    return caller;
  }
  FakeCaller& AskStream(std::int64_t max_tokens) {
    return this->Ask("/stream/", max_tokens);
  }

  /// @brief The n-th attempt's engine sends events for two seconds.
  void Stream(std::size_t n, std::int64_t event_ms) {
    this->client.Head(n, 200,
                      {{std::string(testing::kSignedHeader), "yes"},
                       {"Content-Type", "text/event-stream"}});
    for (int event = 0; event * event_ms < 2'000; ++event) {
      this->client.Data(n, absl::StrCat("id: ", event, "\ndata: t\n\n"));
      this->Advance(event_ms);
    }
  }

  void Stop(std::int64_t left_ms) {
    this->relay.BeginStop(this->clock.MonotonicMs() + left_ms, this->view);
  }

  static bool IsNotRun(const FakeCaller& caller) {
    return caller.Got().starts_with("HTTP/1.1 503") &&
           caller.Got().find("Retry-After: 1") != std::string::npos;
  }

  FixedStopView view;
  FixedCallerProtocol protocol;
  ActiveRoutingConfig config;
  Relay relay{"host",        this->deps,     this->stream_deps,
              this->control, this->protocol, this->config};
  std::vector<std::unique_ptr<FakeCaller>> asked;
};

// Guards against breaking off streams that a stopping host has accepted: at an
// engine under load a token takes longer than on an idle one.
Test(a_stopping_host, refuses_streams_that_a_loaded_engine_would_not_end) {
  StoppingRelayFixture fixture(1);
  fixture.AskStream(2'000);
  fixture.Stream(0, kEventMs);
  fixture.Stop(3'300);
  const FakeCaller& refused = fixture.AskStream(160);
  cr_assert(StoppingRelayFixture::IsNotRun(refused));
  cr_assert(fixture.client.sent.size() == 1);
  const FakeCaller& served = fixture.AskStream(12);
  cr_assert(served.Got().empty() && fixture.client.sent.size() == 2);
}

// Guards against the same where the stopping host has just started.
Test(a_stopping_host, refuses_streams_whose_engine_was_never_measured) {
  StoppingRelayFixture fixture(1);
  fixture.Stop(7'000);
  cr_assert(StoppingRelayFixture::IsNotRun(fixture.AskStream(160)));
  fixture.AskStream(12);
  cr_assert(fixture.client.sent.size() == 1);
}

// Guards against sending a stream that waited for an engine until the rest of
// the stop had become too short.
Test(a_stopping_host, refuses_streams_that_have_waited_too_long) {
  StoppingRelayFixture fixture(1);
  fixture.AskStream(12);
  fixture.client.Reject(0);
  fixture.backends.Remove("s-1");
  fixture.fleet.RemoveEngine("s-1");
  FakeCaller& waiting = fixture.AskStream(12);
  fixture.Stop(1'600);
  fixture.relay.DrainQueue();
  cr_assert(waiting.Got().empty(), "it still fits");
  fixture.Advance(100);
  fixture.relay.DrainQueue();
  cr_assert(StoppingRelayFixture::IsNotRun(waiting));
}

// Guards against breaking off calls to a server that is slower than the route
// aims at.
Test(a_stopping_host, refuses_calls_that_a_slow_server_would_not_end) {
  StoppingRelayFixture fixture(1);
  fixture.Ask("/call/", 0);
  fixture.Advance(2'000);
  fixture.client.Answer(0, 200, "done");
  fixture.Stop(3'900);
  cr_assert(StoppingRelayFixture::IsNotRun(fixture.Ask("/call/", 0)));
  cr_assert(fixture.client.sent.size() == 1);
}

// Guards against taking refused calls for fast ones.
Test(a_stopping_host, refuses_all_calls_if_none_was_measured) {
  StoppingRelayFixture fixture(1);
  fixture.Stop(3'900);
  for (int n = 0; n < 3; ++n) {
    cr_assert(StoppingRelayFixture::IsNotRun(fixture.Ask("/call/", 0)));
  }
  cr_assert(fixture.client.sent.empty());
}

Test(a_stopping_host, serves_calls_that_are_fast_enough) {
  StoppingRelayFixture fixture(1);
  fixture.Ask("/call/", 0);
  fixture.Advance(20);
  fixture.client.Answer(0, 200, "done");
  fixture.Stop(3'900);
  fixture.Ask("/call/", 0);
  cr_assert(fixture.client.sent.size() == 2);
}

}  // namespace
}  // namespace meadowthread
