#include <criterion/criterion.h>

#include "process/fleet.h"

// Every way an attempt can end, against the engine's own record of what ran:
// the rows of docs/design/outcomes.md.

namespace meadowthread::tests {
namespace {

using nlohmann::json;

/// @brief One host, one engine with a fault, one request.
struct Ended {
  std::string outcome;
  int code = 0;
  int runs = 0;
  int starts = 0;
};

Ended EndUnder(const json& faults, const std::string& idempotency_key,
               int engines = 1) {
  FleetPlan plan;
  plan.hosts = 1;
  plan.engines = engines;
  plan.not_repeatable = "{requests: keyed, key_form: opaque}";
  Fleet fleet(plan);
  fleet.Start();
  fleet.SetFaults(fleet.EngineUrl(0), faults);
  StreamingCaller caller(fleet.Client());
  caller.Ask(fleet.HostUrl(0), kKey, "[tokens=20] note", idempotency_key);
  WaitFor([&caller] { return caller.IsOver(); });
  Ended ended;
  ended.outcome = caller.Outcome();
  ended.code =
      caller.Problem().is_object() ? caller.Problem().value("code", 0) : 0;
  ended.runs = fleet.TotalRuns();
  for (int n = 0; n < engines; ++n) {
    ended.starts +=
        fleet.Record(fleet.EngineUrl(n))["counts"]["starts"].get<int>();
  }
  return ended;
}

Test(a_request_not_run, is_one_that_every_engine_rejected) {
  const TestApplication application;
  const Ended ended = EndUnder({{"reject", "full"}}, "");
  cr_assert(ended.outcome == "not_run", "%s", ended.outcome.c_str());
  cr_assert(ended.runs == 0);
}

Test(a_request_not_run, is_said_so_for_a_keyed_one_that_was_rejected) {
  const TestApplication application;
  const Ended ended = EndUnder({{"reject", "not_loaded"}}, "k-1");
  cr_assert(ended.outcome == "not_run", "%s", ended.outcome.c_str());
  cr_assert(ended.runs == 0);
}

Test(a_request_of_unknown_fate, is_never_said_to_have_not_run) {
  const TestApplication application;
  // the engine reads the request and closes; it has run it, or it has not
  for (const bool runs : {true, false}) {
    const Ended ended =
        EndUnder({{"refuse_after_read", 10}, {"run", runs}}, "k-2");
    cr_assert(ended.outcome == "unknown", "%s", ended.outcome.c_str());
    cr_assert(ended.runs == (runs ? 1 : 0), "%d", ended.runs);
    // and a request that may not be repeated was sent once: neither we nor
    // the HTTP library sent it again
    cr_assert(ended.starts <= 1, "%d", ended.starts);
  }
}

Test(a_request_of_unknown_fate, is_run_elsewhere_where_it_may_be_repeated) {
  const TestApplication application;
  const Ended ended =
      EndUnder({{"refuse_after_read", 1}, {"run", true}}, "", 1);
  cr_assert(ended.outcome == "complete", "%s", ended.outcome.c_str());
  cr_assert(ended.runs == 2, "%d", ended.runs);
}

Test(a_request_of_unknown_fate, stays_so_when_a_later_attempt_is_rejected) {
  const TestApplication application;
  FleetPlan plan;
  plan.hosts = 1;
  plan.engines = 2;
  plan.half = "policy: {retry_budget_ratio: 1.0}\n";
  Fleet fleet(plan);
  fleet.Start();
  // given one engine that runs whatever it gets without a word, and one that
  // rejects whatever it gets
  fleet.SetFaults(fleet.EngineUrl(0),
                  {{"refuse_after_read", 1000}, {"run", true}});
  fleet.SetFaults(fleet.EngineUrl(1), {{"reject", "not_loaded"}});
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    StreamingCaller caller(fleet.Client());
    caller.Ask(fleet.HostUrl(0), kKey, "[tokens=20] note");
    cr_assert(WaitFor([&caller] { return caller.IsOver(); }));
    // then only what ran nowhere is said to have not run
    const int runs = fleet.RunsOf(caller.Request());
    cr_assert((runs == 0) == (caller.Outcome() == "not_run"), "%d runs, %s",
              runs, caller.Outcome().c_str());
  }
}

Test(a_request_to_a_silent_engine, ends_as_unknown_where_it_may_not_repeat) {
  const TestApplication application;
  const Ended ended = EndUnder({{"stall", true}}, "k-3");
  cr_assert(ended.outcome == "unknown", "%s", ended.outcome.c_str());
}

Test(a_request_to_dead_engines, has_not_run) {
  const TestApplication application;
  FleetPlan plan;
  plan.hosts = 1;
  plan.engines = 1;
  Fleet fleet(plan);
  fleet.Start();
  fleet.Engines().Kill();
  StreamingCaller caller(fleet.Client());
  caller.Ask(fleet.HostUrl(0), kKey, "[tokens=20] note", "k-4");
  cr_assert(WaitFor([&] { return caller.IsOver(); }));
  cr_assert(caller.Outcome() == "not_run", "%s",
            caller.Problem().dump().c_str());
}

Test(a_wrong_request, gets_its_own_refusal_and_runs_nowhere) {
  const TestApplication application;
  FleetPlan plan;
  plan.hosts = 1;
  plan.engines = 1;
  plan.half = "callers: {max_body_bytes: 4096, body_timeout_ms: 300}\n";
  Fleet fleet(plan);
  fleet.Start();
  const std::string url = fleet.HostUrl(0) + "/v1/completions";
  const auto code = [&fleet, &url](const std::string& key,
                                   const std::string& body) {
    const json problem = JsonOf(Call(fleet.Client(), Post(url, key, body)));
    cr_assert(problem.value("outcome", "") == "not_run", "%s",
              problem.dump().c_str());
    return problem.value("code", 0);
  };
  cr_assert(code("nobody", R"({"model":"reconcile","prompt":"x"})") == 106);
  cr_assert(code(kKey, R"({"model":"other","prompt":"x"})") == 107);
  cr_assert(code(kKey, R"({"model":"reconcile"})") == 102);
  cr_assert(code(kKey, "not json") == 101);
  cr_assert(code(kKey, std::string(10'000, 'x')) == 104);
  cr_assert(fleet.TotalRuns() == 0);
}

}  // namespace
}  // namespace meadowthread::tests
