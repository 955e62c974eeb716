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
  bool Answer() { return this->absence.NoteAnswer(this->Now()); }
  bool Sign() { return this->absence.NoteSign(this->Now()); }
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
    cr_assert(!story.Answer());
  }
  story.list.Remove("a");
  cr_assert(story.Usable() == 1, "it has left");
  cr_assert(story.absence.AnsweredForMs(story.Now()) == 20 * (kWatchMs + 20));
}

// The pattern: entries lapse with the store, and living servers are listed anew
// within two seconds.
Test(a_store_that_was_away, leaves_living_servers_in_use) {
  Story story;
  story.Pass(6'000);
  cr_assert(story.Answer());
  story.list.Remove("a");
  story.list.Remove("b");
  cr_assert(story.Usable() == 2);
  story.Pass(1'900);
  cr_assert(story.Usable() == 2);
  story.List("b");
  story.Pass(400);
  cr_assert(story.Usable() == 1, "one was not listed anew");
}

// The pattern of the incident: the host's own watch waits for news that is the
// removal itself, three seconds after the return, while other hosts' reads were
// told to it all the while.
Test(a_store_that_was_away, is_back_by_other_hosts_answers_too) {
  Story story;
  story.Pass(6'000);
  cr_assert(story.Sign(), "another host's read");
  for (int n = 0; n < 6; ++n) {
    story.Pass(500);
    cr_assert(!story.Sign());
  }
  cr_assert(!story.Answer());
  story.list.Remove("a");
  cr_assert(story.Usable() == 1);
}

// The pattern: one host's connections are reset or cut; the others read on.
Test(a_store_that_others_read, was_not_away_for_the_one_that_could_not) {
  Story story;
  story.Pass(10'000);
  cr_assert(story.Answer());
  story.list.Remove("a");
  cr_assert(story.Usable() == 2, "for all it knows");
  story.absence.NoteAnsweredFor(60'000, story.Now());
  story.list.ReviewLapsed();
  cr_assert(story.Usable() == 1, "nothing lapsed: it has left");
}

Test(a_store_that_others_read, is_back_since_the_first_of_them_was_answered) {
  Story story;
  story.Pass(10'000);
  story.Answer();
  story.absence.NoteAnsweredFor(1'000, story.Now());
  story.absence.NoteAnsweredFor(200, story.Now());
  story.list.Remove("a");
  story.Pass(1'150);
  cr_assert(story.Usable() == 2);
  story.Pass(100);
  cr_assert(story.Usable() == 1);
}

// Hosts that don't read, or just found it back, vouch for nothing before that.
Test(a_host_that_does_not_read, vouches_for_nothing) {
  Story story;
  story.Pass(StoreAbsence::kAwayMs);
  cr_assert(!story.absence.AnsweredForMs(story.Now()).has_value());
  story.Sign();
  cr_assert(!story.absence.AnsweredForMs(story.Now()).has_value());
  story.Answer();
  cr_assert(story.absence.AnsweredForMs(story.Now()) == 0);
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
