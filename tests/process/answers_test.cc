#include <criterion/criterion.h>

#include "process/fleet.h"

// Every token exactly once, in order, from one generation; not run is true.

namespace meadowthread::tests {
namespace {

FleetPlan Plan(int hosts, int engines) {
  FleetPlan plan;
  plan.hosts = hosts;
  plan.engines = engines;
  return plan;
}

Test(a_streamed_answer, reaches_its_caller_exact_despite_a_disorderly_engine) {
  const TestApplication application;
  Fleet fleet(Plan(1, 1));
  fleet.Start();
  {  // given an engine that doubles, reorders and drops events
    fleet.SetFaults(
        fleet.EngineUrl(0),
        {{"duplicate_every", 3}, {"reorder_every", 5}, {"drop_every", 37}});
  }
  StreamingCaller caller(fleet.Client());
  caller.Ask(fleet.HostUrl(0), kKey, "[tokens=400] report");
  cr_assert(WaitFor([&] { return caller.IsOver(); }));
  cr_assert(caller.IsDone(), "%s", caller.Problem().dump().c_str());
  cr_assert(caller.IsExact());
  cr_assert(caller.Tokens().size() == 400);
}

Test(a_streamed_answer, goes_on_when_its_connection_to_the_engine_is_cut) {
  const TestApplication application;
  Fleet fleet(Plan(1, 1));
  fleet.Start();
  StreamingCaller caller(fleet.Client());
  caller.Ask(fleet.HostUrl(0), kKey, "[tokens=600] report");
  cr_assert(WaitFor([&] { return caller.Tokens().size() > 20; }));
  fleet.SetFaults(fleet.EngineUrl(0), {{"close_streams", true}});
  cr_assert(WaitFor([&] { return caller.IsOver(); }));
  cr_assert(caller.IsDone());
  cr_assert(caller.IsExact());
  cr_assert(caller.Tokens().size() == 600);
  cr_assert(fleet.TotalRuns() == 1);
}

Test(a_streamed_answer, goes_on_at_another_host_when_its_host_is_killed) {
  const TestApplication application;
  Fleet fleet(Plan(2, 2));
  fleet.Start();
  StreamingCaller caller(fleet.Client());
  caller.Ask(fleet.HostUrl(0), kKey, "[tokens=800] report");
  cr_assert(WaitFor([&] { return caller.Tokens().size() > 20; }));
  fleet.Host(0).Kill();
  cr_assert(WaitFor([&] { return caller.IsOver(); }));
  cr_assert(!caller.IsDone());
  caller.Resume(fleet.HostUrl(1), kKey);
  cr_assert(WaitFor([&] { return caller.IsOver(); }));
  cr_assert(caller.IsDone(), "%s", caller.Problem().dump().c_str());
  cr_assert(caller.IsExact());
  cr_assert(caller.Tokens().size() == 800);
  cr_assert(fleet.TotalRuns() == 1);
}

Test(a_streamed_answer, stays_exact_when_its_frozen_host_wakes_again) {
  const TestApplication application;
  Fleet fleet(Plan(2, 1));
  fleet.Start();
  StreamingCaller caller(fleet.Client());
  caller.Ask(fleet.HostUrl(0), kKey, "[tokens=2000] report");
  cr_assert(WaitFor([&] { return caller.Tokens().size() > 20; }));
  fleet.Host(0).Freeze();
  caller.Resume(fleet.HostUrl(1), kKey);
  const std::size_t before = caller.Tokens().size();
  cr_assert(WaitFor([&] { return caller.Tokens().size() > before + 20; }));
  fleet.Host(0).Thaw();
  cr_assert(WaitFor([&] { return caller.IsOver(); }));
  cr_assert(caller.IsDone(), "%s", caller.Problem().dump().c_str());
  cr_assert(caller.IsExact());
  cr_assert(caller.Tokens().size() == 2000);
  cr_assert(fleet.TotalRuns() == 1);
  // and the host that woke up has let go of it
  cr_assert(WaitFor([&] { return fleet.Status(0)["streams"] == 0; }));
}

Test(a_streamed_answer, is_interrupted_at_once_when_its_engine_restarts) {
  const TestApplication application;
  Fleet fleet(Plan(1, 1));
  fleet.Start();
  StreamingCaller caller(fleet.Client());
  caller.Ask(fleet.HostUrl(0), kKey, "[tokens=5000] report");
  cr_assert(WaitFor([&] { return caller.Tokens().size() > 20; }));
  fleet.SetFaults(fleet.EngineUrl(0), {{"lose_generations", true}});
  cr_assert(WaitFor([&] { return caller.IsOver(); }));
  cr_assert(caller.Outcome() == "interrupted");
  cr_assert(caller.IsExact());
  cr_assert(caller.Terminals() == 1);
  const auto delivered =
      caller.Problem()["tokens_delivered"].get<std::size_t>();
  cr_assert(delivered == caller.Tokens().size());
  cr_assert(caller.Problem()["safe_to_repeat"] == true);
  cr_assert(fleet.TotalRuns() == 1);
}

Test(a_whole_answer, runs_again_elsewhere_when_its_engine_restarts) {
  const TestApplication application;
  FleetPlan plan = Plan(1, 2);
  plan.whole_delivery = true;
  Fleet fleet(plan);
  fleet.Start();
  StreamingCaller caller(fleet.Client());
  caller.Ask(fleet.HostUrl(0), kKey, "[tokens=400] report");
  int at = -1;
  cr_assert(WaitFor([&] {
    for (int n = 0; n < 2; ++n) {
      const nlohmann::json record = fleet.Record(fleet.EngineUrl(n));
      at = record["attempts"].empty() ? at : n;
    }
    return at >= 0;
  }));
  fleet.SetFaults(fleet.EngineUrl(at), {{"lose_generations", true}});
  cr_assert(WaitFor([&] { return caller.IsOver(); }));
  cr_assert(caller.IsDone(), "%s", caller.Problem().dump().c_str());
  cr_assert(caller.IsExact());
  cr_assert(caller.Tokens().size() == 400);
  cr_assert(fleet.TotalRuns() == 2);
}

Test(a_callers_answer, is_its_own_among_many) {
  const TestApplication application;
  Fleet fleet(Plan(2, 3));
  fleet.Start();
  constexpr int kCallers = 60;
  std::vector<std::unique_ptr<StreamingCaller>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<StreamingCaller>(fleet.Client()));
    callers.back()->Ask(fleet.HostUrl(i % 2), i % 3 == 0 ? kOtherKey : kKey,
                        "[tokens=" + std::to_string(10 + i) + "] report");
  }
  cr_assert(WaitFor([&] {
    return std::all_of(callers.begin(), callers.end(),
                       [](const auto& caller) { return caller->IsOver(); });
  }));
  for (int i = 0; i < kCallers; ++i) {
    cr_assert(callers[i]->IsDone(), "%d", i);
    cr_assert(callers[i]->IsExact(), "%d", i);
    cr_assert(callers[i]->Tokens().size() == 10U + i, "%d", i);
  }
}

Test(a_resume_token, of_another_workspace_or_altered_is_refused) {
  const TestApplication application;
  Fleet fleet(Plan(1, 1));
  fleet.Start();
  StreamingCaller caller(fleet.Client());
  caller.Ask(fleet.HostUrl(0), kKey, "[tokens=3000] report");
  cr_assert(WaitFor([&] { return caller.Tokens().size() > 5; }));
  StreamingCaller thief(fleet.Client());
  thief.resume_token = caller.resume_token;
  thief.Resume(fleet.HostUrl(0), kOtherKey);
  cr_assert(WaitFor([&] { return thief.IsOver(); }));
  cr_assert(thief.Status() == 403);
  thief.resume_token[5] = thief.resume_token[5] == 'A' ? 'B' : 'A';
  thief.Resume(fleet.HostUrl(0), kKey);
  cr_assert(WaitFor([&] { return thief.IsOver(); }));
  cr_assert(thief.Status() == 403);
  cr_assert(thief.Tokens().empty());
  cr_assert(WaitFor([&] { return caller.IsOver(); }));
  cr_assert(caller.IsDone() && caller.Tokens().size() == 3000);
}

Test(a_slow_caller, holds_back_its_own_stream_only) {
  const TestApplication application;
  FleetPlan plan = Plan(1, 1);
  plan.half = "callers: {slow_caller_bytes: 4096}\n";
  Fleet fleet(plan);
  fleet.Start();
  StreamingCaller slow(fleet.Client());
  StreamingCaller quick(fleet.Client());
  slow.Ask(fleet.HostUrl(0), kKey, "[tokens=30000] report");
  cr_assert(WaitFor([&] { return !slow.Tokens().empty(); }));
  slow.SetPaused(true);
  quick.Ask(fleet.HostUrl(0), kKey, "[tokens=200] tag");
  cr_assert(WaitFor([&] { return quick.IsOver(); }));
  cr_assert(quick.IsDone() && quick.IsExact());
  slow.SetPaused(false);
  cr_assert(WaitFor([&] { return slow.IsOver(); }));
  cr_assert(slow.IsDone(), "%s", slow.Problem().dump().c_str());
  cr_assert(slow.IsExact() && slow.Tokens().size() == 30000);
}

Test(a_caller_that_goes_away, leaves_no_generation_running) {
  const TestApplication application;
  FleetPlan plan = Plan(1, 1);
  Fleet fleet(plan);
  fleet.Start();
  // given a caller of one whole JSON answer, who cannot come back for it
  auto* handler = new StreamingCaller(fleet.Client());
  handler->Ask(fleet.HostUrl(0), kKey, "[tokens=90000] report");
  cr_assert(WaitFor([&] { return fleet.TotalRuns() == 1; }));
  const HttpRequest whole =
      Post(fleet.HostUrl(0) + "/v1/completions", kKey,
           R"({"model":"reconcile","prompt":"[tokens=90000] whole"})");
  class Mute final : public HttpHandler {
   public:
    void OnHead(int, std::span<const HttpHeader>) override {}
    void OnData(std::string_view) override {}
    void OnEnd(const HttpCallResult&) override {}
  } mute;
  const HttpCallId call = fleet.Client().Start(whole, &mute);
  cr_assert(WaitFor([&] { return fleet.TotalRuns() == 2; }));
  // when it goes away
  fleet.Client().Cancel(call);
  // then its generation is cancelled
  cr_assert(WaitFor([&] {
    return fleet.Record(fleet.EngineUrl(0))["counts"]["cancels"] == 1;
  }));
  delete handler;
}

}  // namespace
}  // namespace meadowthread::tests
