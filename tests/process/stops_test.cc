#include <criterion/criterion.h>

#include "process/fleet.h"

// Hosts that leave and stop: nothing new, nothing cut off.

namespace meadowthread::tests {
namespace {

using nlohmann::json;

FleetPlan Plan(int hosts, int engines) {
  FleetPlan plan;
  plan.hosts = hosts;
  plan.engines = engines;
  return plan;
}

int CodeOf(Fleet& fleet, int host) {
  const json answer =
      JsonOf(Call(fleet.Client(),
                  Post(fleet.HostUrl(host) + "/v1/completions", kKey,
                       R"({"model":"reconcile","prompt":"[tokens=2] x"})")));
  return answer.value("code", 0);
}

Test(a_leaving_host, refuses_new_work_as_not_run_with_the_host_list_lagging) {
  const TestApplication application;
  FleetPlan plan = Plan(3, 1);
  plan.host_list_lag_ms = 30'000;
  Fleet fleet(plan);
  fleet.StartPlatform();
  fleet.PutHostList();
  for (int n = 0; n < 3; ++n) {
    fleet.StartHost(n);
  }
  cr_assert(WaitFor([&] { return fleet.IsReady(1); }));
  fleet.Mark("entry-1", "leaving");
  cr_assert(WaitFor([&] { return !fleet.IsReady(1); }));
  cr_assert(CodeOf(fleet, 1) == 205);
  cr_assert(WaitFor([&] { return fleet.IsReady(0) && fleet.IsReady(2); }));
}

Test(a_leaving_host, hears_of_its_mark_from_peers_while_it_cannot_watch) {
  const TestApplication application;
  Fleet fleet(Plan(3, 1));
  fleet.Start();
  // given a mark that only one host is told, and a platform that is down
  fleet.SetFaults(fleet.StoreUrl(), {{"down", true}});
  const json mark = {{"host", "entry-2"}, {"mark", "leaving"},
                     {"handover", false}, {"operation", "offered"},
                     {"set_by", "test"},  {"unix_ms", 1}};
  const json call = {{"jsonrpc", "2.0"},
                     {"id", 1},
                     {"method", "offer"},
                     {"params",
                      {{"items",
                        {{{"kind", "marks"},
                          {"name", "entry-2"},
                          {"version", 1000},
                          {"value", mark.dump()},
                          {"deleted", false}}}}}}};
  const FetchResult offered =
      Call(fleet.Client(), Post(fleet.ControlUrl(0) + "/rpc", "", call.dump()));
  cr_assert(JsonOf(offered)["result"]["taken"] == 1, "%s",
            offered.response.body.c_str());
  cr_assert(WaitFor([&] { return !fleet.IsReady(2); }));
  cr_assert(CodeOf(fleet, 2) == 205);
  cr_assert(fleet.IsReady(0) && fleet.IsReady(1));
}

Test(an_engine_marked_as_leaving, gets_nothing_new) {
  const TestApplication application;
  Fleet fleet(Plan(1, 2));
  fleet.Start();
  fleet.Mark("engine1", "leaving");
  cr_assert(WaitFor([&] { return fleet.Status(0)["engines_usable"] == 1; }));
  const int before =
      fleet.Record(fleet.EngineUrl(0))["counts"]["starts"].get<int>();
  for (int i = 0; i < 8; ++i) {
    cr_assert(CodeOf(fleet, 0) == 0);
  }
  cr_assert(fleet.Record(fleet.EngineUrl(0))["counts"]["starts"] == before);
}

Test(a_planned_stop, waits_for_its_streams_and_ends_cleanly) {
  const TestApplication application;
  Fleet fleet(Plan(1, 1));
  fleet.Start();
  StreamingCaller caller(fleet.Client());
  caller.Ask(fleet.HostUrl(0), kKey, "[tokens=1500] report");
  cr_assert(WaitFor([&] { return caller.Tokens().size() > 10; }));
  fleet.Host(0).AskToStop();
  cr_assert(WaitFor([&] { return !fleet.IsReady(0); }));
  cr_assert(CodeOf(fleet, 0) == 205);
  cr_assert(fleet.Status(0)["stop_waits_for"].size() == 1);
  cr_assert(WaitFor([&] { return caller.IsOver(); }));
  cr_assert(caller.IsDone() && caller.IsExact());
  cr_assert(caller.Tokens().size() == 1500);
  cr_assert(WaitFor([&] { return !fleet.Host(0).IsRunning(); }));
  cr_assert(fleet.Host(0).ExitCode() == 0);
}

Test(a_planned_stop, asked_for_twice_hands_its_streams_over) {
  const TestApplication application;
  Fleet fleet(Plan(2, 1));
  fleet.Start();
  StreamingCaller caller(fleet.Client());
  caller.Ask(fleet.HostUrl(0), kKey, "[tokens=3000] report");
  cr_assert(WaitFor([&] { return caller.Tokens().size() > 10; }));
  fleet.Host(0).AskToStop();
  cr_assert(WaitFor([&] { return !fleet.IsReady(0); }));
  fleet.Host(0).AskToStop();
  cr_assert(WaitFor([&] { return !fleet.Host(0).IsRunning(); }));
  cr_assert(WaitFor([&] { return caller.IsOver(); }));
  caller.Resume(fleet.HostUrl(1), kKey);
  cr_assert(WaitFor([&] { return caller.IsOver(); }));
  cr_assert(caller.IsDone() && caller.IsExact());
  cr_assert(caller.Tokens().size() == 3000);
  cr_assert(fleet.TotalRuns() == 1);
}

Test(a_planned_stop, by_mark_ends_the_process) {
  const TestApplication application;
  Fleet fleet(Plan(2, 1));
  fleet.Start();
  fleet.Mark("entry-0", "stopping");
  cr_assert(WaitFor([&] { return !fleet.Host(0).IsRunning(); }));
  cr_assert(fleet.Host(0).ExitCode() == 0);
  cr_assert(fleet.IsReady(1));
}

Test(a_stop_that_is_cut_short_by_a_kill, leaves_the_callers_their_streams) {
  const TestApplication application;
  Fleet fleet(Plan(2, 1));
  fleet.Start();
  StreamingCaller caller(fleet.Client());
  caller.Ask(fleet.HostUrl(0), kKey, "[tokens=2000] report");
  cr_assert(WaitFor([&] { return caller.Tokens().size() > 10; }));
  fleet.Host(0).AskToStop();
  cr_assert(WaitFor([&] { return !fleet.IsReady(0); }));
  fleet.Host(0).Kill();
  cr_assert(WaitFor([&] { return caller.IsOver(); }));
  caller.Resume(fleet.HostUrl(1), kKey);
  cr_assert(WaitFor([&] { return caller.IsOver(); }));
  cr_assert(caller.IsDone() && caller.IsExact());
  cr_assert(caller.Tokens().size() == 2000);
}

}  // namespace
}  // namespace meadowthread::tests
