// A relay over engines that start again under their id.
#include "relay/relay.h"

#include <criterion/criterion.h>

#include "relay/tests/relay_fixture.h"

namespace meadowthread {
namespace {

using testing::FakeCaller;
using testing::RelayFixture;

/// @brief Takes whatever comes for one generation.
class OneCaller final : public CallerWire {
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
  WholeResponse Answer(const Problem& problem) const override {
    return ProblemResponse(problem);
  }
};

/// @brief One stream at s-1, which started at 1,000.
struct RelayStory : RelayFixture {
  RelayStory() : RelayFixture(1) {
    ServicePlan made;
    RouteRule route;
    route.name = "route";
    route.host = "a.example";
    route.path_prefix = "/x/";
    route.rule = RunRule::kStream;
    route.timeout_ms = 10'000;
    route.target_latency_ms = 1'000;
    route.services = {{"svc", 1}};
    made.routes = {route};
    this->plan.Take(std::move(made), 1);
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
  OneCaller one;
  PlanInForce plan;
  Relay relay{"host",        this->parts, this->stream_parts,
              this->control, this->one,   this->plan};
};

Test(a_relay, does_not_take_another_starts_word_for_its_engines) {
  RelayStory story;
  story.relay.AskEngines();
  cr_assert(story.control.asked.size() == 1);
  story.control.asked[0](story.State(true, 2'000));
  cr_assert(!story.backends.Find("s-1")->leaving);
  story.relay.AskEngines();
  story.control.asked.at(1)(story.State(true, 1'000));
  cr_assert(story.backends.Find("s-1")->leaving);
}

Test(a_relay, passes_over_a_report_whose_start_has_gone_since) {
  RelayStory story;
  story.relay.AskEngines();
  const std::string next = story.StartAgain("s-1");
  story.control.asked.at(0)(story.State(true, 1'000));
  cr_assert(!story.backends.Find(next)->leaving);
}

Test(a_relay, ends_the_silent_streams_of_an_engine_that_started_again) {
  RelayStory story;
  story.StartAgain("s-1");
  story.Pass(900);
  story.client.Data(0, "id: 1\ndata: t1\n\n");
  for (int i = 0; i < 9; ++i) {
    story.Pass(100);
  }
  cr_assert(story.relay.Running() == 1);
  for (int i = 0; i < 2; ++i) {
    story.Pass(100);
  }
  cr_assert(story.relay.Running() == 0 && story.caller.IsBroken());
  cr_assert(story.client.sent.size() == 1, "it is not run again");
}

}  // namespace
}  // namespace meadowthread
