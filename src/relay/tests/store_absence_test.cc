// Whether the store was away, by what a host hears of its answers.
#include "relay/store_absence.h"

#include <criterion/criterion.h>

#include "base/manual_scheduler.h"
#include "relay/backend_list.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kWatchMs = 1'500;

struct Story {
  ManualClock clock{1'000'000};
  ManualScheduler scheduler{&this->clock};
  StoreAbsence absence;
  BackendList list{this->clock, this->scheduler, this->absence};

  Story() {
    for (const std::string id : {"a", "b"}) {
      this->List(id);
    }
    this->Answer();
  }
  void List(const std::string& id) {
    BackendEntry entry;
    entry.id = id;
    entry.service = "app";
    this->list.Set(entry);
  }
  std::int64_t Now() const { return this->clock.MonotonicMs(); }
  void Answer() { this->absence.NoteAnswer(this->Now()); }
  /// @brief Another host was answered from so long ago up to so long ago.
  void Word(std::int64_t from_ago_ms, std::int64_t to_ago_ms = 0) {
    this->absence.NoteWord(
        {this->Now() - from_ago_ms, this->Now() - to_ago_ms});
    this->list.ReviewLapsed();
  }
  void Pass(std::int64_t ms) {
    this->clock.Advance(ms);
    this->scheduler.RunDue();
  }
  std::size_t Usable() const { return this->list.Usable("app").size(); }
};

// The pattern: nothing changes, and each watch ends when its wait is over.
Test(a_quiet_store, is_never_taken_for_away) {
  Story story;
  for (int watch = 0; watch < 20; ++watch) {
    story.Pass(kWatchMs + 20);
    story.Answer();
  }
  cr_assert(story.Now() - story.absence.Own()->from_ms == 20 * (kWatchMs + 20));
  cr_assert(!story.list.Remove("a") && story.Usable() == 1, "it has left");
}

// The pattern: entries lapse with the store, and living servers are listed anew
// within two seconds.
Test(a_store_that_was_away, leaves_living_servers_in_use) {
  Story story;
  story.Pass(6'000);
  story.Answer();
  cr_assert(story.list.Remove("a") && story.list.Remove("b"));
  story.Pass(1'900);
  cr_assert(story.Usable() == 2);
  story.List("b");
  story.Pass(400);
  cr_assert(story.Usable() == 1, "one was not listed anew");
}

// The pattern of the incident: the host's own watch waits for news that is the
// removal itself, three seconds after the return; others were answered before.
Test(a_store_that_was_away, is_back_since_the_first_host_was_answered) {
  Story story;
  story.Pass(9'000);
  story.Answer();
  cr_assert(story.list.Remove("a"), "for all it knows");
  story.Word(1'800);
  cr_assert(story.Usable() == 2);
  story.Word(2'700);
  cr_assert(story.Usable() == 1, "living servers were listed anew before");
  story.Word(1'800);
  story.Pass(100);
  cr_assert(!story.list.Remove("b"), "the longest word stands");
}

// The pattern: one host's connections are reset or cut; the others read on.
Test(a_store_that_others_read, was_not_away_for_the_one_that_could_not) {
  Story story;
  story.Pass(10'000);
  story.Answer();
  cr_assert(story.list.Remove("a"));
  story.Word(60'000);
  cr_assert(story.Usable() == 1, "nothing lapsed: it has left");
}

// The pattern: most hosts don't read the store and hear of changes from others.
Test(a_host_that_does_not_read, goes_by_the_words_of_those_that_do) {
  Story story;
  story.Pass(60'000);
  cr_assert(story.list.Remove("a"));
  story.Word(60'000);
  cr_assert(story.Usable() == 1);
  story.Pass(60'000);
  cr_assert(story.list.Remove("b"), "an old word says nothing of since");
  story.Word(300);
  story.Pass(1'850);
  cr_assert(story.Usable() == 1);
  story.Pass(100);
  cr_assert(story.Usable() == 0);
}

// The pattern: the store turns away the hosts that watch it; others that begin
// to read it had no answer before.
Test(a_host_that_begins_to_read, goes_on_where_others_left_off) {
  Story story;
  story.Pass(60'000);
  story.Answer();
  cr_assert(story.list.Remove("a"), "for all it knows");
  story.Word(60'000, 400);
  cr_assert(story.Usable() == 1, "no break in between: it has left");
}

Test(a_host_that_begins_to_read, joins_nothing_over_an_absence) {
  Story story;
  story.Pass(60'000);
  story.Answer();
  cr_assert(story.list.Remove("a"));
  story.Word(60'000, StoreAbsence::kAwayMs);
  cr_assert(story.Usable() == 2);
  story.Pass(StoreAbsence::kRelistMs);
  cr_assert(story.Usable() == 1);
}

// Nobody answers, and what is sent to a server that left is bounded all the
// same.
Test(a_host_that_does_not_read, bears_with_a_missing_entry_within_the_bound) {
  Story story;
  story.Pass(60'000);
  cr_assert(story.list.Remove("a"));
  story.Pass(StoreAbsence::kUnknownMs);
  cr_assert(story.Usable() == 1);
}

// A store that goes away again and again must not keep what is gone.
Test(a_store_that_flaps, gives_a_missing_entry_no_more_time) {
  Story story;
  story.Pass(6'000);
  story.Answer();
  story.list.Remove("a");
  story.Pass(StoreAbsence::kAwayMs);
  story.Answer();
  story.Pass(StoreAbsence::kRelistMs - StoreAbsence::kAwayMs);
  cr_assert(story.Usable() == 1);
}

}  // namespace
}  // namespace meadowthread
