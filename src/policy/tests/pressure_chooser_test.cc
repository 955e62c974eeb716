// Choosing the engine under the least pressure; most tests check one part of
// the cost.
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
struct PressureChooserFixture {
  explicit PressureChooserFixture(PressureOptions with = {})
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
  /// @brief Another host reports its work on an engine.
  void ReportPeerLoad(const std::string& engine, std::int64_t reserved,
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

Test(work_for_a_version, goes_to_its_engines_only) {
  PressureChooserFixture fixture;
  EngineListing listing{"e0", "z", true, false};
  listing.models = fixture.fleet.state.Find("e0")->models;
  listing.kv_capacity = kCapacity;
  listing.software_version = "v2";
  fixture.fleet.state.SetEngine(listing, 1);
  WorkItem work = fixture.Item("r");
  work.software = {VersionRule::Kind::kOnly, "v2"};
  cr_assert(fixture.Choose(work) == "e0");
  work.software = {VersionRule::Kind::kExcept, "v2"};
  cr_assert(fixture.Choose(work) == "e1");
  work.software = {VersionRule::Kind::kOnly, "v9"};
  cr_assert(fixture.Choose(work).empty());
}

Test(the_engine_under_least_pressure, has_the_most_memory_left) {
  PressureChooserFixture fixture;
  fixture.ReportPeerLoad("e0", kCapacity / 4);
  cr_assert(fixture.Choose() == "e1");
}

Test(the_engine_under_least_pressure, has_fewer_prompts_to_prefill) {
  PressureChooserFixture fixture;
  fixture.ReportPeerLoad("e0", 1'000, 9'000);
  fixture.ReportPeerLoad("e1", 3'000);
  cr_assert(fixture.Choose() == "e1",
            "slightly more memory in use, but nothing to prefill");
}

Test(the_engine_under_least_pressure, is_not_the_one_that_fails) {
  PressureChooserFixture fixture;
  fixture.fleet.state.SetFailureShare("e0", 0.5);
  fixture.ReportPeerLoad("e1", kCapacity / 4);
  cr_assert(fixture.Choose() == "e1");
}

// Guards against sending to unreachable engines: while the object store was
// down, engines that were gone had no load and so attracted every new stream,
// until each stream had used up its attempts. 49 streams failed that way.
Test(an_engine_that_could_not_be_reached, is_a_last_resort_for_a_while) {
  PressureChooserFixture fixture;
  fixture.ReportPeerLoad("e1", kCapacity / 2, 9'000);
  fixture.fleet.state.MarkUnreachable("e0", 500);
  cr_assert(fixture.Choose() == "e1");
  cr_assert(
      *fixture.chooser.Choose(fixture.Item("r"), fixture.fleet.state, 500, 0)
              .engine == "e0",
      "no longer avoided");
  fixture.fleet.state.MarkUnreachable("e0", 900);
  fixture.fleet.state.SetEngine({"e1", "z", true, true}, 0);
  cr_assert(fixture.Choose() == "e0", "no other engine is usable");
}

Test(the_engine_under_least_pressure, is_not_one_that_is_slow_after_its_start) {
  PressureChooserFixture fixture;
  EngineListing slow{"e0", "z", true, false};
  slow.warm_at_ms = 1'000;
  fixture.fleet.state.SetEngine(slow, 0);
  cr_assert(fixture.Choose() == "e1");
}

Test(the_engine_under_least_pressure, is_in_the_same_zone_if_otherwise_equal) {
  PressureOptions options;
  options.near_equal = 0.0;
  PressureChooserFixture fixture(options);
  fixture.fleet.state.SetEngine({"e0", "elsewhere", true, false}, 0);
  cr_assert(fixture.Choose() == "e1");
}

Test(an_engine_behind_a_lossy_link, is_chosen_only_if_there_is_no_other) {
  for (const bool weighs_links : {true, false}) {
    PressureChooserFixture fixture;
    LinkQuality links("z");
    fixture.chooser.SetLinks(weighs_links ? &links : nullptr);
    fixture.fleet.state.SetEngine({"e0", "elsewhere", true, false}, 0);
    fixture.ReportPeerLoad("e1", kCapacity / 4);
    for (int i = 0; i < 8; ++i) {
      links.NoteStall("elsewhere", 1);
    }
    cr_assert(fixture.Choose() == (weighs_links ? "e1" : "e0"));
    fixture.fleet.state.SetEngine({"e1", "z", true, true}, 0);
    cr_assert(fixture.Choose() == "e0");
  }
}

// An engine that is taken away can migrate only about half of its memory in
// time.
Test(a_crowded_engine, costs_more_than_its_memory_alone) {
  PressureOptions plain;
  plain.crowding_weight = 0.0;
  for (const bool weighs_crowding : {true, false}) {
    PressureChooserFixture fixture(weighs_crowding ? PressureOptions{} : plain);
    // e0 is two thirds full; e1 is a third full and has a prompt of 5,500
    // tokens to prefill.
    fixture.ReportPeerLoad("e0", kCapacity * 2 / 3);
    fixture.ReportPeerLoad("e1", kCapacity / 3, 5'500);
    cr_assert(fixture.Choose() == (weighs_crowding ? "e1" : "e0"));
  }
}

Test(a_busy_link, costs_only_work_that_is_migrated) {
  PressureChooserFixture requests;
  requests.ReportPeerLoad("e0", 1'000, 0, 1);
  requests.ReportPeerLoad("e1", 3'000);
  cr_assert(requests.Choose() == "e0");
  PressureOptions moves;
  moves.busy_link_cost = 0.5;
  PressureChooserFixture copies(moves);
  copies.ReportPeerLoad("e0", 1'000, 0, 1);
  copies.ReportPeerLoad("e1", 3'000);
  cr_assert(copies.Choose() == "e1");
  copies.ReportPeerLoad("e0", 1'000, 0, 0);
  cr_assert(copies.Choose() == "e0", "the copy is done");
}

Test(a_busy_link, may_carry_this_hosts_own_copy) {
  PressureOptions moves;
  moves.busy_link_cost = 0.5;
  PressureChooserFixture fixture(moves);
  fixture.ReportPeerLoad("e1", 3'000);
  fixture.fleet.state.SetCopies("e0", 1);
  cr_assert(fixture.Choose() == "e1");
  fixture.fleet.state.SetCopies("e0", 0);
  cr_assert(fixture.Choose() == "e0");
}

// Guards against admitting work beyond the memory limit because it is urgent or
// has waited: such work preempts runs that have started.
Test(work_without_room, waits_even_if_urgent) {
  PressureChooserFixture fixture;
  fixture.ReportPeerLoad("e0", kCapacity);
  fixture.ReportPeerLoad("e1", kCapacity);
  cr_assert(fixture.Choose().empty());
  WorkItem urgent = fixture.Item("u");
  urgent.urgency = Urgency::kUrgent;
  cr_assert(fixture.Choose(urgent).empty());
  WorkItem forced = fixture.Item("f");
  forced.forced = true;
  cr_assert(!fixture.Choose(forced).empty(),
            "a migrated run is placed even without room");
}

Test(short_work, fits_beside_growing_streams_where_long_work_does_not) {
  PressureChooserFixture fixture;
  // Both engines have 0.85 of their memory in use, which is between the limits
  // for long and for short work.
  fixture.ReportPeerLoad("e0", kCapacity * 85 / 100);
  fixture.ReportPeerLoad("e1", kCapacity * 85 / 100);
  cr_assert(!fixture.Choose(fixture.Item("short")).empty());
  WorkItem lasting = fixture.Item("lasting");
  lasting.template_name = "draft";
  fixture.fleet.Teach(lasting, 2'000);
  cr_assert(fixture.Choose(lasting).empty());
  fixture.ReportPeerLoad("e1", kCapacity / 2);
  cr_assert(fixture.Choose(lasting) == "e1");
}

// Guards against retries that displace first attempts: when requests refused in
// a burst were retried and got the same room as first attempts, the first
// attempts became late as well.
Test(late_work, uses_only_capacity_that_others_leave) {
  PressureChooserFixture fixture;
  fixture.ReportPeerLoad("e0", kCapacity * 7 / 10);
  fixture.ReportPeerLoad("e1", kCapacity * 7 / 10);
  WorkItem work = fixture.Item("returned");
  cr_assert(!fixture.Choose(work).empty());
  work.is_late = true;
  cr_assert(fixture.Choose(work).empty());
  fixture.ReportPeerLoad("e1", kCapacity / 2);
  cr_assert(fixture.Choose(work) == "e1");
}

// Guards against late first events when prompts arrive faster than engines
// prefill them. Each prompt here has 2,000 tokens, prefilled at 0.14 ms per
// token, and is wanted within 1,100 ms.
Test(a_prompt_with_a_latency_target, goes_only_where_it_is_prefilled_in_time) {
  PressureChooserFixture fixture;
  WorkItem work = fixture.Item("r", 2'000);
  work.first_event_within_ms = 1'100;
  fixture.ReportPeerLoad("e0", 2'000, 7'000);
  fixture.ReportPeerLoad("e1", 12'000, 5'000);
  cr_assert(fixture.Choose(work) == "e1",
            "0.98 s, although its memory is fuller");
  fixture.ReportPeerLoad("e1", 12'000, 7'000);
  cr_assert(fixture.Choose(work).empty(), "1.26 s on either engine");
  work.first_event_within_ms = 0;
  cr_assert(fixture.Choose(work) == "e0", "no limit on the first event");
}

// Guards against refusing all streams forever: if the target is shorter than
// the prefill time predicted from the initial rate, nothing would be sent from
// which the actual rate could be learned.
Test(a_prompt_that_no_engine_prefills_in_time,
     goes_to_an_engine_without_prefill_backlog) {
  PressureChooserFixture fixture;
  WorkItem work = fixture.Item("r", 3'000);
  work.first_event_within_ms = 300;
  fixture.ReportPeerLoad("e0", 3'000, 3'000);
  cr_assert(fixture.Choose(work) == "e1");
  fixture.ReportPeerLoad("e1", 3'000, 3'000);
  cr_assert(fixture.Choose(work).empty());
}

// Guards against asking the same engine again and again: while the object store
// was down, a run repeatedly asked for room on an engine that was itself
// leaving, until the run's own engine was gone.
Test(an_engine_that_refused_a_copy, is_avoided_for_a_while) {
  PressureChooserFixture fixture;
  fixture.ReportPeerLoad("e1", kCapacity / 2);
  WorkItem copy = fixture.Item("copy");
  copy.is_copy = true;
  copy.forced = true;
  cr_assert(fixture.Choose(copy) == "e0");
  fixture.fleet.state.NoteCopyRefused("e0", 1);
  cr_assert(fixture.Choose(copy) == "e1");
  cr_assert(*fixture.chooser.Choose(copy, fixture.fleet.state, 401, 0).engine ==
            "e0");
  fixture.fleet.state.SetEngine({"e1", "z", true, true}, 0);
  cr_assert(fixture.Choose(copy) == "e0", "no other engine is usable");
}

Test(unseen_requests_of_other_hosts, spread_the_choices) {
  PressureChooserFixture fixture;
  fixture.ReportPeerLoad("e0", kCapacity / 5);
  fixture.chooser.SetUnseenRequests(1.0);
  std::set<std::string> chosen;
  for (std::uint64_t random = 0; random < 8; ++random) {
    chosen.insert(
        *fixture.chooser
             .Choose(fixture.Item("r"), fixture.fleet.state, 1, random)
             .engine);
  }
  cr_assert(chosen.size() == 2);
}

// A host may not have heard yet that a peer's run is over; several runs have
// hardly ended at once.
Test(work_without_room, tells_whether_one_run_of_a_peer_keeps_it_out) {
  PressureChooserFixture fixture;
  WorkItem work = fixture.Item("r", 3'000);
  work.first_event_within_ms = 500;
  const auto decide = [&fixture, &work] {
    return fixture.chooser.Choose(work, fixture.fleet.state, 1, 0);
  };
  fixture.ReportPeerLoad("e0", 0, 3'000);
  fixture.ReportPeerLoad("e1", 0, 3'000);
  cr_assert(!decide().engine.has_value() && decide().rests_on_peer_run);
  cr_assert(decide().considered[0].peer_load_age_ms == 0);
  for (const char* const engine : {"e0", "e1"}) {
    PeerLoad more;
    more.peer = "third";
    more.engine = engine;
    more.as_of_unix_ms = 1;
    more.in_flight = 2;
    more.reading = 6'000;
    fixture.fleet.state.NotePeerLoad(more, 1);
  }
  cr_assert(!decide().engine.has_value() && !decide().rests_on_peer_run);
}

Test(work_without_room, tells_that_own_runs_keep_it_out) {
  PressureChooserFixture fixture;
  WorkItem work = fixture.Item("r", 3'000);
  work.first_event_within_ms = 500;
  for (const char* const engine : {"e0", "e1"}) {
    fixture.fleet.state.NoteSent(fixture.Item(engine, 3'000), engine, 1);
  }
  const Decision decision =
      fixture.chooser.Choose(work, fixture.fleet.state, 1, 0);
  cr_assert(!decision.engine.has_value() && !decision.rests_on_peer_run);
  cr_assert(decision.considered[0].peer_load_age_ms == -1);
}

////////////////////////////
// Engines of different speed
////////////////////////////

constexpr std::int64_t kFastUs = 4'000;
constexpr std::int64_t kSlowUs = 9'000;
// A prompt beside it and a slow moment: about five times the typical time.
constexpr std::int64_t kPauseFactor = 5;

/// @brief Eight engines, of which every fourth one is fast, and outputs of two
/// lengths.
struct UnevenFleet {
  UnevenFleet() {
    for (int second = 0; second < 100; ++second) {
      for (int engine = 0; engine < 8; ++engine) {
        const std::int64_t us = engine % 4 == 0 ? kFastUs : kSlowUs;
        const std::int64_t longest = second % 5 == 0 ? kPauseFactor : 2;
        this->fleet.state.ObserveSpeed(
            {testing::EngineName(engine), us, longest * us});
      }
    }
    this->fleet.Teach(this->Short("taught"), 12);
    this->fleet.Teach(this->Long("taught"), 800);
  }
  WorkItem Short(const std::string& request) const {
    WorkItem work = testing::Work(request);
    work.template_name = "short";
    work.prompt_tokens = 2'000;
    work.max_token_gap_us = 45'000;
    return work;
  }
  WorkItem Long(const std::string& request) const {
    WorkItem work = this->Short(request);
    work.template_name = "long";
    return work;
  }
  /// @brief Places the work and counts it on its engine.
  int Place(const WorkItem& work) {
    const Decision decision =
        this->chooser.Choose(work, this->fleet.state, 1, 0);
    cr_assert(decision.engine.has_value());
    this->fleet.state.NoteSent(work, *decision.engine, 1);
    this->fleet.state.NoteTokens(work.request, 1, 1);
    return std::stoi(decision.engine->substr(1));
  }

  testing::Fleet fleet{8};
  PressureChooser chooser{[] {
    PressureOptions options;
    options.zone = "z";
    return options;
  }()};
};

// Guards against late streams: on a slow engine, a prompt that was prefilled
// beside a stream in a slow moment made it pause for longer than permitted.
Test(long_streams, go_to_engines_on_which_their_pauses_stay_short) {
  UnevenFleet uneven;
  for (int n = 0; n < 6; ++n) {
    cr_assert(uneven.Place(uneven.Long("r" + std::to_string(n))) % 4 == 0);
  }
}

// Guards against late streams whose pauses other requests' prompts cause.
Test(short_streams, are_not_prefilled_beside_long_ones_that_would_pause) {
  UnevenFleet uneven;
  for (int engine = 0; engine < 8; ++engine) {
    if (engine != 1) {
      PeerLoad load;
      load.peer = "other";
      load.engine = testing::EngineName(engine);
      load.as_of_unix_ms = 1;
      load.forecast.AddFlat(0.25 * testing::kCapacity);
      uneven.fleet.state.NotePeerLoad(load, 1);
    }
  }
  uneven.fleet.state.NoteSent(uneven.Long("long"), "e1", 1);
  uneven.fleet.state.NoteTokens("long", 1, 1);
  WorkItem work = uneven.Short("s");
  cr_assert(uneven.Place(work) != 1);
  work.request = "without a limit";
  work.max_token_gap_us = 0;
  cr_assert(uneven.Place(work) == 1, "otherwise the engine with most memory");
}

// Guards against first events that are expected too late on a fast engine and
// too early on a slow one.
Test(the_expected_first_event, follows_the_speed_of_the_engine) {
  UnevenFleet uneven;
  const FleetState& state = uneven.fleet.state;
  cr_assert(state.PrefillMs(0, 3'000) < 0.5 * state.PrefillMs(1, 3'000));
  uneven.fleet.state.ObservePrefill({"e0", 3'000, 200});
  cr_assert(state.Prefill().MsPerToken() > 0.14,
            "200 ms on a fast engine are 450 ms on the median one");
}

}  // namespace
}  // namespace meadowthread
