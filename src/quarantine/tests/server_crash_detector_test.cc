// Which interrupted runs are reported as server crashes.
#include "quarantine/server_crash_detector.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "base/manual_scheduler.h"
#include "quarantine/tests/fake_listen_check.h"

namespace meadowthread {
namespace {

struct Fixture {
  static InterruptedRun Run(const std::string& content,
                            const std::string& server) {
    InterruptedRun run;
    run.id = {"makati", content};
    run.server = server;
    run.address = "10.0.0.1:80";
    run.before_any_answer = true;
    return run;
  }
  void Elapse(std::int64_t ms) {
    this->clock.Advance(ms);
    this->scheduler.RunDue();
  }

  ManualClock clock{1'790'000'000'000};
  ManualScheduler scheduler{&this->clock};
  testing::FakeListenCheck check;
  std::vector<CrashRecord> reported;
  ServerCrashDetector detector{
      this->check, this->clock, this->scheduler,
      [this](const CrashRecord& record) { this->reported.push_back(record); }};
};

Test(an_interrupted_run, is_reported_if_the_server_refuses_connections) {
  Fixture fixture;
  fixture.detector.Add(Fixture::Run("c-1", "s-1"));
  fixture.detector.Add(Fixture::Run("c-2", "s-1"));
  cr_assert(fixture.check.asked.size() == 1, "one connection attempt for both");
  cr_assert(fixture.reported.empty());
  const std::int64_t cut_ms = fixture.clock.WallMs();
  fixture.Elapse(100);
  fixture.check.Answer(ListenProbeResult::kRefused);
  cr_assert(fixture.reported.size() == 2);
  cr_assert(fixture.reported[0].id.content == "c-1");
  cr_assert(fixture.reported[0].crashes[0].server == "s-1");
  cr_assert(fixture.reported[0].crashes[0].unix_ms == cut_ms);
}

// The run was interrupted by a malformed response, a lost connection, or an
// unreachable machine, not by a crash of its server.
Test(an_interrupted_run, is_not_reported_if_the_server_accepts_or_is_silent) {
  for (const ListenProbeResult state :
       {ListenProbeResult::kListens, ListenProbeResult::kSilent}) {
    Fixture fixture;
    fixture.detector.Add(Fixture::Run("c-1", "s-1"));
    fixture.check.Answer(state);
    fixture.Elapse(60'000);
    cr_assert(fixture.reported.empty());
    fixture.detector.NoteGone("s-1");
    cr_assert(fixture.reported.empty(), "it disappeared much later");
  }
}

Test(an_interrupted_run, is_reported_if_the_server_is_gone_soon_after) {
  Fixture fixture;
  fixture.detector.Add(Fixture::Run("c-1", "s-1"));
  fixture.check.Answer(ListenProbeResult::kSilent);
  fixture.Elapse(4'000);
  fixture.detector.NoteGone("s-2");
  cr_assert(fixture.reported.empty());
  fixture.detector.NoteGone("s-1");
  cr_assert(fixture.reported.size() == 1);
  fixture.detector.NoteGone("s-1");
  cr_assert(fixture.reported.size() == 1);
}

// The first run is interrupted by a malformed response; two seconds later
// another request crashes the same server.
Test(an_interrupted_run, is_not_reported_for_a_later_crash) {
  Fixture fixture;
  fixture.detector.Add(Fixture::Run("c-1", "s-1"));
  fixture.check.Answer(ListenProbeResult::kListens);
  fixture.Elapse(2'000);
  fixture.detector.Add(Fixture::Run("c-2", "s-1"));
  cr_assert(fixture.check.asked.size() == 1, "tried again");
  fixture.check.Answer(ListenProbeResult::kRefused);
  cr_assert(fixture.reported.size() == 1 &&
            fixture.reported[0].id.content == "c-2");
}

Test(a_run_that_timed_out, is_reported_only_if_the_server_is_gone) {
  Fixture fixture;
  InterruptedRun run = Fixture::Run("c-1", "s-1");
  run.timed_out = true;
  fixture.detector.Add(run);
  cr_assert(fixture.check.asked.empty(),
            "no connection attempt to a slow server");
  fixture.Elapse(3'000);
  fixture.detector.NoteGone("s-1");
  cr_assert(fixture.reported.size() == 1);
}

}  // namespace
}  // namespace meadowthread
