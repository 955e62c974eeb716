// Asking for an engine, and what is done where nobody answers.
#include "allocation/allocator_client.h"

#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

#include "base/manual_scheduler.h"
#include "policy/tests/fleet_fixture.h"

namespace meadowthread {
namespace {

struct FakeChannel final : public AllocationChannel {
  void Send(std::string_view host, const PlaceAsk& ask) override {
    this->asks.emplace_back(host, ask);
  }
  void Send(std::string_view, const PlaceAnswer&) override {}
  void Send(std::string_view host, const TurnOver& over) override {
    this->overs.emplace_back(host, over);
  }
  void Send(std::string_view, const GroupPressure&) override {}
  void Send(std::string_view, const EngineAttempt&) override {}
  void Send(std::string_view, const ReadingSeen&) override {}
  void AskAllToTell() override {}
  void LetAllHear() override {}

  std::vector<std::pair<std::string, PlaceAsk>> asks;
  std::vector<std::pair<std::string, TurnOver>> overs;
};

/// @brief Chooses "alone" for everything.
struct FakeLocal final : public EngineAllocation {
  void Choose(const WorkItem&, const Chosen& chosen) override {
    Decision decision;
    decision.engine = "alone";
    chosen(decision);
  }
  bool IsShared() const override { return false; }
  void AskMove(const MoveAsk&, const Chosen&) override {}
  void MoveOver(const MoveAsk&) override {}
};

struct Story {
  Story() : fleet(3) {
    this->groups.SetHosts(std::vector<AllocatorHost>{
        {"h0", "z"}, {"h1", "z"}, {"h2", "z"}, {"h3", "z"}});
    this->groups.CountEngines(this->fleet.state);
    this->asking.SetShared(true);
  }
  void Choose() {
    this->asking.Choose(testing::Work("r"), [this](const Decision& decision) {
      this->chosen.push_back(decision.engine.value_or("none"));
    });
  }
  void AskMove() {
    this->asking.AskMove(this->move, [this](const Decision& decision) {
      this->chosen.push_back(decision.engine.value_or("none"));
    });
  }
  void Answer(PlaceVerdict verdict, const std::string& engine = "") {
    PlaceAnswer answer;
    answer.ticket = this->channel.asks.back().second.ticket;
    answer.verdict = verdict;
    answer.engine = engine;
    this->asking.TakeAnswer(answer);
  }
  void Pass(std::int64_t ms) {
    this->clock.Advance(ms);
    this->scheduler.RunDue();
  }
  std::string Asked() const { return this->channel.asks.back().first; }

  ManualClock clock{1'000};
  ManualScheduler scheduler{&this->clock};
  testing::Fleet fleet;
  EngineGroups groups;
  FakeChannel channel;
  FakeLocal local;
  GroupAllocation asking{{"h9", "z"}, this->groups,  this->fleet.state,
                         this->local, this->channel, this->scheduler,
                         this->clock};
  MoveAsk move{"e0", testing::Work("run")};
  std::vector<std::string> chosen;
};

Test(a_request, goes_where_the_groups_allocator_says) {
  Story story;
  story.Choose();
  cr_assert(story.Asked() == story.groups.AllocatorsOf("z/0")[0]);
  cr_assert(story.chosen.empty());
  story.Answer(PlaceVerdict::kPlaced, "e1");
  story.Answer(PlaceVerdict::kPlaced, "e2");
  story.Pass(5'000);
  cr_assert(story.chosen == std::vector<std::string>{"e1"}, "once");
  cr_assert(story.channel.asks.size() == 1);
}

Test(a_request, that_no_engine_begins_in_time_is_told_so) {
  Story story;
  story.Choose();
  story.Answer(PlaceVerdict::kNoRoom);
  cr_assert(story.chosen == std::vector<std::string>{"none"});
}

Test(a_request, that_was_passed_on_in_vain_comes_back_to_its_own_group) {
  Story story;
  story.Choose();
  PlaceAnswer answer;
  answer.ticket = story.channel.asks.back().second.ticket;
  answer.verdict = PlaceVerdict::kNoRoom;
  answer.is_of_other_group = true;
  story.asking.TakeAnswer(answer);
  cr_assert(story.channel.asks.size() == 2);
  cr_assert(!story.channel.asks.back().second.may_pass_on);
  story.Answer(PlaceVerdict::kPlaced, "e1");
  cr_assert(story.chosen == std::vector<std::string>{"e1"});
}

Test(an_allocator_that_does_not_answer, costs_one_wait_and_is_left_alone) {
  Story story;
  const std::vector<std::string> hosts = story.groups.AllocatorsOf("z/0");
  story.Choose();
  story.Pass(59);
  cr_assert(story.Asked() == hosts[0]);
  story.Pass(1);
  cr_assert(story.Asked() == hosts[1]);
  story.Answer(PlaceVerdict::kPlaced, "e1");
  story.Choose();
  cr_assert(story.Asked() == hosts[1], "the first is not asked again");
  story.Pass(60);
  cr_assert(story.chosen == (std::vector<std::string>{"e1", "alone"}));
  story.Choose();
  cr_assert(story.chosen.size() == 3, "neither is asked: at once");
  story.asking.NoteHeard(hosts[0]);
  story.Choose();
  cr_assert(story.Asked() == hosts[0] && story.chosen.size() == 3);
}

Test(a_host_that_declines, passes_the_question_to_the_next) {
  Story story;
  story.Choose();
  story.Answer(PlaceVerdict::kDeclined);
  cr_assert(story.Asked() == story.groups.AllocatorsOf("z/0")[1]);
  story.Answer(PlaceVerdict::kDeclined);
  cr_assert(story.chosen == std::vector<std::string>{"alone"});
}

Test(an_engine_that_this_host_knows_to_leave, is_asked_away) {
  Story story;
  story.fleet.state.SetEngine({"e1", "z", true, true}, 0);
  story.Choose();
  story.Answer(PlaceVerdict::kPlaced, "e1");
  cr_assert(story.channel.asks.back().second.avoid ==
            std::vector<std::string>{"e1"});
  story.Answer(PlaceVerdict::kPlaced, "e2");
  cr_assert(story.chosen == std::vector<std::string>{"e2"});
}

Test(a_run_that_moves, waits_for_its_turn_and_gives_it_back) {
  Story story;
  story.AskMove();
  story.Answer(PlaceVerdict::kQueued);
  story.Pass(250);
  cr_assert(story.channel.asks.size() == 2, "the word may have been lost");
  story.Answer(PlaceVerdict::kQueued);
  story.Pass(200);
  story.Answer(PlaceVerdict::kPlaced, "e1");
  cr_assert(story.chosen == std::vector<std::string>{"e1"});
  cr_assert(story.channel.overs.empty());
  story.asking.MoveOver(story.move);
  story.asking.MoveOver(story.move);
  cr_assert(story.channel.overs.size() == 1);
  cr_assert(story.channel.overs[0].second.engine == "e0");
}

Test(a_run_that_moves, goes_without_a_turn_where_none_comes) {
  Story story;
  story.AskMove();
  story.Answer(PlaceVerdict::kQueued);
  for (int i = 0; i < 20 && story.chosen.empty(); ++i) {
    story.Pass(250);
    if (story.chosen.empty()) {
      story.Answer(PlaceVerdict::kQueued);
    }
  }
  cr_assert(story.chosen == std::vector<std::string>{"none"});
  cr_assert(story.channel.overs.size() == 1, "it waits no longer");
}

Test(a_small_fleet, asks_nobody) {
  Story story;
  story.asking.SetShared(false);
  story.Choose();
  cr_assert(story.chosen == std::vector<std::string>{"alone"});
  cr_assert(story.channel.asks.empty());
}

}  // namespace
}  // namespace meadowthread
