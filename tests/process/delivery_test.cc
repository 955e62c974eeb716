// A host that was told to stop took itself for drained as soon as no session
// ran, and broke every connection that was left. A session ends when it has
// handed its last bytes to its connection; whether the caller has them, nobody
// asked. A long answer that its engine had ended well was so reset in its
// middle. Of the first story below, before the repair:
//   event=end ... outcome=complete ... caller=there
//   event=stop-asked host=entry-0 times=1 running=0
//   event=stopped host=entry-0 connections=2
//   event=answer-cut ... why=process_ends written=whole unsent=0
//     unacknowledged=395557 unread=0
// The caller had 2,048 bytes of 397,000. Nothing lay unread and the answer's
// end had been taken, which ruled out a reset for unread bytes and a run that
// was broken off.
#include <criterion/criterion.h>

#include "net/tests/slow_client.h"
#include "platform/tests/relay_fleet.h"
#include "process/fleet.h"

namespace meadowthread::tests {
namespace {

constexpr int kTokens = 2'000;
constexpr int kEvents = 3'000;

FleetPlan OneHost() {
  FleetPlan plan;
  plan.hosts = 1;
  plan.engines = 1;
  plan.token_ms = 0;
  return plan;
}

HttpRequest Report(Fleet& fleet) {
  return Post(fleet.HostUrl(0) + "/v1/completions", kKey,
              R"({"model":"reconcile","stream":true,"prompt":"[tokens=)" +
                  std::to_string(kTokens) + R"(] report"})");
}

bool HasLogged(Process& host, const std::string& words) {
  return WaitFor([&] { return host.Log().find(words) != std::string::npos; });
}

bool IsOver(const SlowClient& caller) {
  return WaitFor([&] { return caller.Ended() != SlowClient::End::kOpen; });
}

Test(a_stopping_host, delivers_an_answer_whose_run_has_ended) {
  const TestApplication application;
  Fleet fleet(OneHost());
  fleet.Start();
  // given an answer that is written whole, and a caller that has read nothing
  SlowClient caller(Report(fleet));
  cr_assert(HasLogged(fleet.Host(0), "outcome=complete"));
  // when the host stops, and the caller reads 250 kB a second
  fleet.Host(0).AskToStop();
  caller.Read(2'500);
  cr_assert(IsOver(caller));
  // then it gets all of it, and the host ends
  cr_assert(caller.IsWhole(), "%zu bytes came", caller.Got().size());
  cr_assert(WaitFor([&] { return !fleet.Host(0).IsRunning(); }));
  cr_assert(fleet.Host(0).ExitCode() == 0);
}

Test(a_stopping_entry_host, delivers_an_answer_whose_run_ends_meanwhile) {
  const TestApplication application;
  RelayFleet fleet(1, 1, 1);
  fleet.Start();
  // given a host that stops while a run of three seconds goes on
  SlowClient caller(fleet.Stream(0, "r-1", kEvents));
  cr_assert(HasLogged(fleet.Host(0), "event=route request=r-1"));
  fleet.Host(0).AskToStop();
  // when the caller reads a little slower than its tokens come
  caller.Read(200);
  cr_assert(IsOver(caller));
  // then it gets all of them, and the host ends
  cr_assert(caller.IsWhole(), "%zu bytes came", caller.Got().size());
  cr_assert(WaitFor([&] { return !fleet.Host(0).IsRunning(); }));
  cr_assert(fleet.Host(0).ExitCode() == 0);
}

}  // namespace
}  // namespace meadowthread::tests
