// Whether the store can tell of the engines.
#include "serve/store_silence.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

struct Story {
  ManualClock clock{10'000};
  DatagramHub hub{"a", 18'000, 1, this->clock};
  StoreSilence silence{this->hub, this->clock};

  std::int64_t Now() const { return this->clock.WallMs(); }
};

Test(a_store, that_was_read_lately_is_not_silent) {
  Story story;
  cr_assert(!story.silence.IsSilent(story.Now() - 2'900));
  cr_assert(story.silence.IsSilent(story.Now() - 3'100));
}

Test(a_store, that_fails_this_host_is_silent) {
  Story story;
  story.silence.NoteOwn(true);
  cr_assert(story.silence.IsSilent(story.Now()));
  story.silence.NoteOwn(false);
  cr_assert(!story.silence.IsSilent(story.Now()));
}

// The pattern: engines leave a moment after the store went away. Hosts whose
// watches ran on for 1.5 s noticed when the engines were gone.
Test(a_store, that_fails_another_host_is_silent_until_it_is_read_again) {
  Story story;
  const std::int64_t read_at = story.Now();
  story.clock.Advance(200);
  story.silence.NotePeer("b", true);
  cr_assert(story.silence.IsSilent(read_at));
  story.clock.Advance(300);
  cr_assert(!story.silence.IsSilent(story.Now()), "it turned that one away");
}

Test(a_host_that_the_store_fails, is_known_until_it_says_otherwise_or_nothing) {
  Story story;
  cr_assert(!story.silence.Fails("b"));
  story.silence.NotePeer("b", true);
  cr_assert(story.silence.Fails("b") && !story.silence.Fails("c"));
  story.silence.NotePeer("b", false);
  cr_assert(!story.silence.Fails("b"));
  story.silence.NotePeer("b", true);
  story.clock.Advance(4'900);
  cr_assert(story.silence.Fails("b"), "two of its words may be lost");
  story.clock.Advance(200);
  cr_assert(!story.silence.Fails("b"));
}

}  // namespace
}  // namespace meadowthread
