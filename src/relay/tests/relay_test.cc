// A relay whose engines start again under the same id.
#include "relay/relay.h"

#include <criterion/criterion.h>

#include "relay/tests/relay_fixture.h"

namespace meadowthread {
namespace {

using testing::FakeCaller;
using testing::RelayFixture;

/// @brief Reads every request as the same generation.
class SingleStreamCaller final : public CallerProtocol {
 public:
  absl::StatusOr<RelayRequest> Read(const ServerRequest&) const override {
    RelayRequest request;
    request.id = "r-1";
    request.host = "a.example";
    request.path = "/x/";
    request.target = "/x/";
    request.begun_ms = 1'000'000;
    request.generation = GenerationSize{"m", 100, 100, 0};
    return request;
  }
  ServerResponse Answer(const Problem& problem) const override {
    return ProblemResponse(problem);
  }
};

/// @brief A relay with one stream at s-1, whose start time is 1,000.
struct RestartingEngineFixture : RelayFixture {
  RestartingEngineFixture() : RelayFixture(1) {
    RoutingConfig made;
    RouteRule route;
    route.name = "route";
    route.host = "a.example";
    route.path_prefix = "/x/";
    route.rule = ExecutionRule::kStream;
    route.timeout_ms = 10'000;
    route.target_latency_ms = 1'000;
    route.services = {{"svc", 1}};
    made.routes = {route};
    this->config.Activate(std::move(made), 1);
    BackendEntry entry = this->backends.Find("s-1")->entry;
    entry.started_ms = 1'000;
    this->backends.Set(entry);
    this->backends.AddListener(
        [this](BackendChange change, const Backend& backend) {
          if (change == BackendChange::kGone && backend.started_again) {
            this->relay.OnEngineStartedAgain(backend);
          }
        });
    this->relay.Serve({}, this->caller.TakeWriter());
    this->client.Head(0, 200,
                      {{std::string(testing::kSignedHeader), "yes"},
                       {"Content-Type", "text/event-stream"}});
    this->client.Data(0, "id: 0\ndata: t0\n\n");
  }

  EngineState State(bool leaving, std::int64_t started_ms) {
    EngineState state;
    state.leaving = leaving;
    state.started_ms = started_ms;
    return state;
  }

  FakeCaller caller;
  SingleStreamCaller caller_wire;
  ActiveRoutingConfig config;
  Relay relay{"host",        this->deps,        this->stream_deps,
              this->control, this->caller_wire, this->config};
};

Test(a_relay, ignores_reports_from_another_start_of_an_engine) {
  RestartingEngineFixture fixture;
  fixture.relay.PollEngineStates();
  cr_assert(fixture.control.asked.size() == 1);
  fixture.control.asked[0](fixture.State(true, 2'000));
  cr_assert(!fixture.backends.Find("s-1")->leaving);
  fixture.relay.PollEngineStates();
  fixture.control.asked.at(1)(fixture.State(true, 1'000));
  cr_assert(fixture.backends.Find("s-1")->leaving);
}

Test(a_relay, asks_an_engine_whose_entry_is_invalid) {
  RestartingEngineFixture fixture;
  fixture.relay.PollEngineStates(true);
  cr_assert(fixture.control.asked.empty(), "its entry is valid");
  fixture.backends.MarkEntryInvalid("s-1");
  fixture.relay.PollEngineStates(true);
  cr_assert(fixture.control.asked.size() == 1);
  fixture.control.asked[0](fixture.State(true, 1'000));
  cr_assert(fixture.backends.Find("s-1")->leaving);
}

Test(a_relay, ignores_a_report_of_a_replaced_start) {
  RestartingEngineFixture fixture;
  fixture.relay.PollEngineStates();
  const std::string next = fixture.StartAgain("s-1");
  fixture.control.asked.at(0)(fixture.State(true, 1'000));
  cr_assert(!fixture.backends.Find(next)->leaving);
}

Test(a_relay, ends_the_silent_streams_of_an_engine_that_started_again) {
  RestartingEngineFixture fixture;
  fixture.StartAgain("s-1");
  fixture.Advance(900);
  fixture.client.Data(0, "id: 1\ndata: t1\n\n");
  for (int i = 0; i < 9; ++i) {
    fixture.Advance(100);
  }
  cr_assert(fixture.relay.Running() == 1);
  for (int i = 0; i < 2; ++i) {
    fixture.Advance(100);
  }
  cr_assert(fixture.relay.Running() == 0 && fixture.caller.IsBroken());
  cr_assert(fixture.client.sent.size() == 1, "it is not run again");
}

}  // namespace
}  // namespace meadowthread
