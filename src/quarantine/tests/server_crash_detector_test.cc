// Which cut runs speak of a server's end, and which of nothing.
#include "quarantine/server_crash_detector.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "base/manual_scheduler.h"
#include "quarantine/tests/fake_listen_check.h"

namespace meadowthread {
namespace {

struct Story {
  static CutRun Run(const std::string& content, const std::string& server) {
    CutRun run;
    run.id = {"makati", content};
    run.server = server;
    run.address = "10.0.0.1:80";
    run.before_any_answer = true;
    return run;
  }
  void Pass(std::int64_t ms) {
    this->clock.Advance(ms);
    this->scheduler.RunDue();
  }

  ManualClock clock{1'790'000'000'000};
  ManualScheduler scheduler{&this->clock};
  testing::FakeListenCheck check;
  std::vector<CrashRecord> told;
  ServerEndWatch watch{
      this->check, this->clock, this->scheduler,
      [this](const CrashRecord& record) { this->told.push_back(record); }};
};

Test(a_cut_run, speaks_of_an_end_where_the_server_takes_no_connections) {
  Story story;
  story.watch.Add(Story::Run("c-1", "s-1"));
  story.watch.Add(Story::Run("c-2", "s-1"));
  cr_assert(story.check.asked.size() == 1, "asked once for both");
  cr_assert(story.told.empty());
  const std::int64_t cut_ms = story.clock.WallMs();
  story.Pass(100);
  story.check.Answer(ListenState::kRefused);
  cr_assert(story.told.size() == 2);
  cr_assert(story.told[0].id.content == "c-1");
  cr_assert(story.told[0].ends[0].server == "s-1");
  cr_assert(story.told[0].ends[0].unix_ms == cut_ms);
}

// A garbled answer, a lost connection, a host that is cut off.
Test(a_cut_run, speaks_of_nothing_where_the_server_listens_or_is_silent) {
  for (const ListenState state :
       {ListenState::kListens, ListenState::kSilent}) {
    Story story;
    story.watch.Add(Story::Run("c-1", "s-1"));
    story.check.Answer(state);
    story.Pass(60'000);
    cr_assert(story.told.empty());
    story.watch.NoteGone("s-1");
    cr_assert(story.told.empty(), "it went long after");
  }
}

Test(a_cut_run, speaks_of_an_end_where_the_server_is_gone_soon_after) {
  Story story;
  story.watch.Add(Story::Run("c-1", "s-1"));
  story.check.Answer(ListenState::kSilent);
  story.Pass(4'000);
  story.watch.NoteGone("s-2");
  cr_assert(story.told.empty());
  story.watch.NoteGone("s-1");
  cr_assert(story.told.size() == 1);
  story.watch.NoteGone("s-1");
  cr_assert(story.told.size() == 1);
}

// An answer was spoilt, and seconds later a request ends the same server.
Test(a_cut_run, is_no_part_of_an_end_that_came_after_it) {
  Story story;
  story.watch.Add(Story::Run("c-1", "s-1"));
  story.check.Answer(ListenState::kListens);
  story.Pass(2'000);
  story.watch.Add(Story::Run("c-2", "s-1"));
  cr_assert(story.check.asked.size() == 1, "asked again");
  story.check.Answer(ListenState::kRefused);
  cr_assert(story.told.size() == 1 && story.told[0].id.content == "c-2");
}

Test(a_run_that_got_no_answer_in_time, waits_for_the_servers_end_only) {
  Story story;
  CutRun run = Story::Run("c-1", "s-1");
  run.was_silent = true;
  story.watch.Add(run);
  cr_assert(story.check.asked.empty(), "a slow server is not asked");
  story.Pass(3'000);
  story.watch.NoteGone("s-1");
  cr_assert(story.told.size() == 1);
}

}  // namespace
}  // namespace meadowthread
