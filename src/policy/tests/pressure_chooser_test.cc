// Which engine is under the least pressure: each part of the cost by itself.
#include "policy/pressure_chooser.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

#include "policy/tests/fleet_fixture.h"

namespace meadowthread {
namespace {

using testing::Fleet;
using testing::kCapacity;

/// @brief Two engines, "e0" and "e1", whose outputs are known to be short.
struct Story {
  explicit Story(PressureOptions with = {})
      : chooser([&with] {
          with.zone = "z";
          return with;
        }()) {
    this->fleet.Teach(this->Item("taught"), 10);
  }

  WorkItem Item(const std::string& request, std::int64_t prompt = 100) const {
    WorkItem work = testing::Work(request);
    work.prompt_tokens = prompt;
    return work;
  }
  /// @brief Another host tells of its work on an engine.
  void Tell(const std::string& engine, std::int64_t reserved,
            std::int64_t reading = 0, int copies = 0) {
    PeerLoad load;
    load.peer = "other";
    load.engine = engine;
    load.as_of_unix_ms = 1;
    load.in_flight = 1;
    load.kv_held = reserved;
    load.reading = reading;
    load.copies = copies;
    load.forecast.AddFlat(static_cast<double>(reserved));
    this->fleet.state.NotePeerLoad(load, 1);
  }
  std::string Choose(const WorkItem& work) {
    return this->chooser.Choose(work, this->fleet.state, 1, 0)
        .engine.value_or("");
  }
  std::string Choose() { return this->Choose(this->Item("r")); }

  Fleet fleet{2};
  PressureChooser chooser;
};

Test(the_engine_under_least_pressure, has_the_most_memory_left) {
  Story story;
  story.Tell("e0", kCapacity / 4);
  cr_assert(story.Choose() == "e1");
}

Test(the_engine_under_least_pressure, has_fewer_prompts_to_read) {
  Story story;
  story.Tell("e0", 1'000, 9'000);
  story.Tell("e1", 3'000);
  cr_assert(story.Choose() == "e1", "a little more memory, nothing to read");
}

Test(the_engine_under_least_pressure, is_not_the_one_that_fails) {
  Story story;
  story.fleet.state.SetFailureShare("e0", 0.5);
  story.Tell("e1", kCapacity / 4);
  cr_assert(story.Choose() == "e1");
}

// Named for the recorded day inc-2905 of lukot-linen: while the store was down,
// engines that were gone drew every new stream, as they had no load, until each
// had used up its tries: 49 were told that no engine could be reached.
Test(an_engine_that_could_not_be_reached, is_a_last_resort_for_a_while) {
  Story story;
  story.Tell("e1", kCapacity / 2, 9'000);
  story.fleet.state.SetAside("e0", 500);
  cr_assert(story.Choose() == "e1");
  cr_assert(*story.chooser.Choose(story.Item("r"), story.fleet.state, 500, 0)
                    .engine == "e0",
            "its time is over");
  story.fleet.state.SetAside("e0", 900);
  story.fleet.state.SetEngine({"e1", "z", true, true}, 0);
  cr_assert(story.Choose() == "e0", "there is no other");
}

Test(the_engine_under_least_pressure, is_not_one_in_its_slow_first_seconds) {
  Story story;
  EngineListing slow{"e0", "z", true, false};
  slow.warm_at_ms = 1'000;
  story.fleet.state.SetEngine(slow, 0);
  cr_assert(story.Choose() == "e1");
}

Test(the_engine_under_least_pressure, is_in_the_same_zone_where_alike) {
  PressureOptions options;
  options.near_equal = 0.0;
  Story story(options);
  story.fleet.state.SetEngine({"e0", "elsewhere", true, false}, 0);
  cr_assert(story.Choose() == "e1");
}

Test(an_engine_beyond_a_link_that_loses_packets,
     is_taken_only_without_another) {
  for (const bool weighs_links : {true, false}) {
    Story story;
    LinkQuality links("z");
    story.chooser.SetLinks(weighs_links ? &links : nullptr);
    story.fleet.state.SetEngine({"e0", "elsewhere", true, false}, 0);
    story.Tell("e1", kCapacity / 4);
    for (int i = 0; i < 8; ++i) {
      links.NoteStall("elsewhere", 1);
    }
    cr_assert(story.Choose() == (weighs_links ? "e1" : "e0"));
    story.fleet.state.SetEngine({"e1", "z", true, true}, 0);
    cr_assert(story.Choose() == "e0");
  }
}

// An engine that is taken away can hand over about half of its memory in time.
Test(a_crowded_engine, costs_more_than_its_memory_alone) {
  PressureOptions plain;
  plain.crowded_weight = 0.0;
  for (const bool weighs_crowds : {true, false}) {
    Story story(weighs_crowds ? PressureOptions{} : plain);
    // e0: two thirds full; e1: a third, and a prompt of 5,500 tokens to read
    story.Tell("e0", kCapacity * 2 / 3);
    story.Tell("e1", kCapacity / 3, 5'500);
    cr_assert(story.Choose() == (weighs_crowds ? "e1" : "e0"));
  }
}

Test(a_link_with_a_copy_on_it, counts_only_for_work_that_is_copied) {
  Story requests;
  requests.Tell("e0", 1'000, 0, 1);
  requests.Tell("e1", 3'000);
  cr_assert(requests.Choose() == "e0");
  PressureOptions moves;
  moves.busy_link_cost = 0.5;
  Story copies(moves);
  copies.Tell("e0", 1'000, 0, 1);
  copies.Tell("e1", 3'000);
  cr_assert(copies.Choose() == "e1");
  copies.Tell("e0", 1'000, 0, 0);
  cr_assert(copies.Choose() == "e0", "the copy is over");
}

Test(a_link_with_a_copy_on_it, may_be_this_hosts_own) {
  PressureOptions moves;
  moves.busy_link_cost = 0.5;
  Story story(moves);
  story.Tell("e1", 3'000);
  story.fleet.state.SetCopies("e0", 1);
  cr_assert(story.Choose() == "e1");
  story.fleet.state.SetCopies("e0", 0);
  cr_assert(story.Choose() == "e0");
}

// Work that was let in beyond this, by urgency or after a wait, pushed out runs
// that had begun: 42 of them on a day of crowding, 17 without it.
Test(work_without_room, waits_however_urgent_it_is) {
  Story story;
  story.Tell("e0", kCapacity);
  story.Tell("e1", kCapacity);
  cr_assert(story.Choose().empty());
  WorkItem urgent = story.Item("u");
  urgent.urgency = Urgency::kUrgent;
  cr_assert(story.Choose(urgent).empty());
  WorkItem forced = story.Item("f");
  forced.forced = true;
  cr_assert(!story.Choose(forced).empty(), "a run's copy has to go somewhere");
}

Test(short_work, fits_beside_what_grows_later_and_lasting_work_does_not) {
  Story story;
  // Both engines: 0.85 of the memory, between the two limits.
  story.Tell("e0", kCapacity * 85 / 100);
  story.Tell("e1", kCapacity * 85 / 100);
  cr_assert(!story.Choose(story.Item("short")).empty());
  WorkItem lasting = story.Item("lasting");
  lasting.template_name = "draft";
  story.fleet.Teach(lasting, 2'000);
  cr_assert(story.Choose(lasting).empty());
  story.Tell("e1", kCapacity / 2);
  cr_assert(story.Choose(lasting) == "e1");
}

// The pattern: those a crowd turned away come back into it. Given the same room
// as first attempts, they made these late in their turn.
Test(work_that_is_late_anyhow, takes_only_room_that_others_leave) {
  Story story;
  story.Tell("e0", kCapacity * 7 / 10);
  story.Tell("e1", kCapacity * 7 / 10);
  WorkItem work = story.Item("returned");
  cr_assert(!story.Choose(work).empty());
  work.is_late = true;
  cr_assert(story.Choose(work).empty());
  story.Tell("e1", kCapacity / 2);
  cr_assert(story.Choose(work) == "e1");
}

// The pattern: prompts come faster than engines read them. Each prompt here is
// 2,000 tokens, read at 0.14 ms a token; wanted within 1,100 ms.
Test(a_prompt_wanted_soon, goes_only_where_it_is_read_in_time) {
  Story story;
  WorkItem work = story.Item("r", 2'000);
  work.first_event_within_ms = 1'100;
  story.Tell("e0", 2'000, 7'000);
  story.Tell("e1", 12'000, 5'000);
  cr_assert(story.Choose(work) == "e1", "0.98 s, though its memory is fuller");
  story.Tell("e1", 12'000, 7'000);
  cr_assert(story.Choose(work).empty(), "1.26 s at either engine");
  work.first_event_within_ms = 0;
  cr_assert(story.Choose(work) == "e0", "whenever it comes");
}

// A target shorter than the first guess of the reading rate allows: all streams
// were refused for good, as nothing was sent that the rate could be learnt
// from.
Test(a_prompt_that_no_engine_reads_in_time, goes_where_nothing_is_ahead_of_it) {
  Story story;
  WorkItem work = story.Item("r", 3'000);
  work.first_event_within_ms = 300;
  story.Tell("e0", 3'000, 3'000);
  cr_assert(story.Choose(work) == "e1");
  story.Tell("e1", 3'000, 3'000);
  cr_assert(story.Choose(work).empty());
}

// Named for the recorded day inc-7e49 of rcmka-kigali: while the store was down
// a run asked the same engine, which left itself, until its own engine was
// gone.
Test(an_engine_that_refused_a_copy, is_passed_over_for_a_while) {
  Story story;
  story.Tell("e1", kCapacity / 2);
  WorkItem copy = story.Item("copy");
  copy.is_copy = true;
  copy.forced = true;
  cr_assert(story.Choose(copy) == "e0");
  story.fleet.state.NoteNoRoom("e0", 1);
  cr_assert(story.Choose(copy) == "e1");
  cr_assert(*story.chooser.Choose(copy, story.fleet.state, 401, 0).engine ==
            "e0");
  story.fleet.state.SetEngine({"e1", "z", true, true}, 0);
  cr_assert(story.Choose(copy) == "e0", "there is no other");
}

Test(requests_of_hosts_not_heard_of_yet, spread_the_choices) {
  Story story;
  story.Tell("e0", kCapacity / 5);
  story.chooser.SetUnseen(1.0);
  std::set<std::string> chosen;
  for (std::uint64_t random = 0; random < 8; ++random) {
    chosen.insert(
        *story.chooser.Choose(story.Item("r"), story.fleet.state, 1, random)
             .engine);
  }
  cr_assert(chosen.size() == 2);
}

}  // namespace
}  // namespace meadowthread
