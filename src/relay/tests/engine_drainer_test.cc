// Moving runs between engines: every failure listed in
// docs/design/moving-runs.md, hosts taking turns to copy over an engine's link,
// and the splitting of event streams.
#include "relay/engine_drainer.h"

#include <criterion/criterion.h>

#include "relay/run_move.h"
#include "relay/sse_event_splitter.h"
#include "relay/tests/relay_fixture.h"

namespace meadowthread {
namespace {

using testing::FakeEngineControl;

struct Owner final : public RunMoveOwner {
  void OnMoveReady(const Continuation& from,
                   const std::string& target) override {
    this->ready.push_back(from);
    this->targets.push_back(target);
  }
  void OnMoveOver(MoveEnd end) override { this->ends.push_back(end); }
  std::vector<Continuation> ready;
  std::vector<std::string> targets;
  std::vector<MoveEnd> ends;
};

struct Fixture {
  ManualClock clock{1'000};
  FakeEngineControl control;
  Owner owner;
  std::unique_ptr<RunMove> move = std::make_unique<RunMove>(
      control, clock, owner,
      MovePlan{"r-1", "10.0.0.1:80", "target", "10.0.0.2:80", 3'500, "source",
               5'000});
  Fixture() { move->Begin(); }
};

Test(a_move, copies_while_the_run_continues_and_then_stops_it) {
  Fixture f;
  cr_assert(f.control.orders.size() == 1 && !f.control.orders[0].stop);
  cr_assert(!f.move->MayHaveStopped());
  f.control.Answer(MoveResult::kCopied, "h1");
  cr_assert(f.control.orders.size() == 2 && f.control.orders[1].stop);
  cr_assert(f.move->MayHaveStopped());
  f.control.Answer(MoveResult::kCopied, "h2");
  // Two engines must never work on one run, so the source's stream has to end
  // first.
  cr_assert(f.owner.ready.empty());
  f.move->NoteStreamEnded();
  cr_assert(f.owner.ready.size() == 1 && f.owner.targets[0] == "target");
  cr_assert(f.owner.ready[0].handle == "h2");
  cr_assert(f.owner.ready[0].source == "10.0.0.1:80");
  f.move.reset();
  cr_assert(f.control.dropped.empty(), "a used handle is not freed");
}

Test(a_move, whose_stream_ends_before_its_answer_waits_for_the_answer) {
  Fixture f;
  f.control.Answer(MoveResult::kCopied, "h1");
  f.move->NoteStreamEnded();
  cr_assert(f.owner.ready.empty());
  f.control.Answer(MoveResult::kCopied, "h2");
  cr_assert(f.owner.ready.size() == 1);
}

Test(a_move, without_room_at_the_target_leaves_the_run_where_it_is) {
  for (const MoveResult result :
       {MoveResult::kNoRoom, MoveResult::kBusy, MoveResult::kUnknown}) {
    Fixture f;
    f.control.Answer(result);
    cr_assert(f.owner.ends.size() == 1);
    cr_assert(f.owner.ends[0] == (result == MoveResult::kNoRoom
                                      ? MoveEnd::kNoRoom
                                      : MoveEnd::kNotMoved));
    cr_assert(f.control.orders.size() == 1, "nothing is stopped");
  }
}

Test(a_move, of_a_run_that_ended_ends_too) {
  Fixture f;
  f.control.Answer(MoveResult::kNoRun);
  cr_assert(f.owner.ends[0] == MoveEnd::kRunEnded);
  Fixture g;
  g.control.Answer(MoveResult::kCopied, "h1");
  g.control.Answer(MoveResult::kNoRun);
  cr_assert(g.owner.ends[0] == MoveEnd::kRunEnded);
  g.move.reset();
  cr_assert(g.control.dropped == std::vector<std::string>{"h1"});
}

Test(a_move, that_stopped_the_run_without_room_goes_back_to_the_source) {
  Fixture f;
  f.control.Answer(MoveResult::kCopied, "h1");
  f.control.Answer(MoveResult::kNoRoom, "h2");
  f.move->NoteStreamEnded();
  cr_assert(f.owner.ready.size() == 1 && f.owner.ready[0].handle == "h2");
  cr_assert(f.owner.targets[0].empty(), "the source keeps the KV cache");
}

Test(a_move, whose_stop_is_unanswered_goes_on_from_the_first_copy) {
  Fixture f;
  f.control.Answer(MoveResult::kCopied, "h1");
  f.control.Answer(MoveResult::kUnknown);
  cr_assert(f.owner.ready.empty() && f.owner.ends.empty());
  f.move->NoteStreamEnded();
  cr_assert(f.owner.ready.size() == 1 && f.owner.ready[0].handle == "h1");
  cr_assert(f.owner.targets[0] == "target");
}

Test(a_move, whose_target_starts_again_leaves_the_run_where_it_is) {
  Fixture f;
  f.move->NoteStartedAgain("target");
  f.control.Answer(MoveResult::kCopied, "h1");
  cr_assert(f.owner.ends.size() == 1 && f.owner.ends[0] == MoveEnd::kNotMoved);
  cr_assert(f.control.orders.size() == 1, "nothing is stopped");
  cr_assert(f.control.dropped == std::vector<std::string>{"h1"});
}

Test(a_move, that_stopped_the_run_goes_back_if_its_target_restarted) {
  Fixture f;
  f.control.Answer(MoveResult::kCopied, "h1");
  f.control.Answer(MoveResult::kCopied, "h2");
  f.move->NoteStartedAgain("target");
  f.move->NoteStreamEnded();
  cr_assert(f.owner.ready.size() == 1 && f.owner.targets[0].empty());
  cr_assert(f.owner.ready[0].handle == "h2" &&
            f.owner.ready[0].source_key == "source");
}

Test(a_move, whose_source_starts_again_goes_on_from_the_copy) {
  // The host learns of the restart from the list of servers, or from the new
  // start's answer to the order.
  for (const bool listed : {true, false}) {
    Fixture f;
    f.control.Answer(MoveResult::kCopied, "h1", 5'000);
    if (listed) {
      f.move->NoteStartedAgain("source");
      f.control.Answer(MoveResult::kNoRun);
    } else {
      f.control.Answer(MoveResult::kCopied, "h9", 6'000);
    }
    cr_assert(f.owner.ready.empty(), "its stream has not ended");
    f.move->NoteStreamEnded();
    cr_assert(f.owner.ready.size() == 1 && f.owner.targets[0] == "target");
    cr_assert(f.owner.ready[0].handle == "h1");
  }
}

Test(a_move, stops_nothing_at_a_source_that_started_again) {
  Fixture f;
  f.move->NoteStartedAgain("source");
  f.control.Answer(MoveResult::kCopied, "h1");
  cr_assert(f.control.orders.size() == 1);
  f.move->NoteStreamEnded();
  cr_assert(f.owner.ready.size() == 1 && f.owner.targets[0] == "target");
}

Test(a_move, whose_both_engines_started_again_has_no_copy_left) {
  Fixture f;
  f.control.Answer(MoveResult::kCopied, "h1");
  f.move->NoteStartedAgain("source");
  f.move->NoteStartedAgain("target");
  f.control.Answer(MoveResult::kUnknown);
  f.move->NoteStreamEnded();
  cr_assert(f.owner.ready.empty() && f.owner.ends.size() == 1 &&
            f.owner.ends[0] == MoveEnd::kUncertain);
  f.move.reset();
  cr_assert(f.control.dropped.empty(),
            "the handle may be another run's at the new start");
}

Test(a_move, that_is_dropped_frees_its_copy_and_ignores_answers) {
  Fixture f;
  f.control.Answer(MoveResult::kCopied, "h1");
  f.move.reset();
  cr_assert(f.control.dropped == std::vector<std::string>{"h1"});
  f.control.Answer(MoveResult::kCopied, "h2");
  cr_assert(f.owner.ready.empty());
}

PeerLoad At(const std::string& host, std::int64_t held, int copies = 0,
            std::int64_t reading = 0) {
  PeerLoad load;
  load.peer = host;
  load.engine = "e";
  load.in_flight = 1;
  load.kv_held = held;
  load.reading = reading;
  load.copies = copies;
  return load;
}

// Long before the host stops waiting for its turn; the reports of peers are
// fresh.
constexpr CopyTurnTimes kEarly{1'000, 0, 0};

Test(turns_at_a_leaving_engine, follow_the_order_of_host_names) {
  const std::vector<PeerLoad> seen_by_a = {At("b", 3'500), At("c", 3'500)};
  const std::vector<PeerLoad> seen_by_b = {At("a", 7'000), At("c", 3'500)};
  const std::vector<PeerLoad> seen_by_c = {At("a", 7'000), At("b", 3'500)};
  cr_assert(MayStartCopy("a", seen_by_a, kEarly, 0));
  cr_assert(!MayStartCopy("b", seen_by_b, kEarly, 0));
  cr_assert(!MayStartCopy("c", seen_by_c, kEarly, 0));
}

Test(turns_at_a_leaving_engine, come_when_hosts_before_have_no_runs_left) {
  cr_assert(
      MayStartCopy("b", std::vector<PeerLoad>{At("c", 3'500)}, kEarly, 0));
  cr_assert(MayStartCopy("b", std::vector<PeerLoad>{At("a", 0)}, kEarly, 0));
}

Test(turns_at_a_leaving_engine, do_not_wait_for_runs_in_prefill) {
  const std::vector<PeerLoad> reads = {At("a", 2'300, 0, 2'300)};
  cr_assert(MayStartCopy("b", reads, kEarly, 0), "it can't be moved yet");
  const std::vector<PeerLoad> runs_too = {At("a", 5'800, 0, 2'300)};
  cr_assert(!MayStartCopy("b", runs_too, kEarly, 0));
}

// Guards against moves that start behind another host's copy: at low
// load twelve long generations were late, each because its final copy waited
// for such a copy.
Test(turns_at_a_leaving_engine, wait_for_a_copy_in_progress) {
  cr_assert(
      !MayStartCopy("a", std::vector<PeerLoad>{At("b", 3'500, 1)}, kEarly, 0));
}

// Scenario: an engine leaves under load. Guards against hosts that are short of
// time starting a copy behind that of another host: each final copy then waited
// for a whole copy of another run.
Test(turns_at_a_leaving_engine, wait_for_a_copy_even_if_time_is_short) {
  const std::vector<PeerLoad> copies = {At("a", 7'000, 1)};
  cr_assert(!MayStartCopy("b", copies, {1'000, 1'200, 100}, 0));
}

Test(turns_at_a_leaving_engine, ignore_the_order_if_time_is_short) {
  const std::vector<PeerLoad> has_more = {At("a", 7'000)};
  cr_assert(!MayStartCopy("b", has_more, {1'000, 999, 0}, 0));
  cr_assert(MayStartCopy("b", has_more, {1'000, 1'000, 0}, 0));
}

Test(turns_at_a_leaving_engine, are_random_among_hosts_short_of_time) {
  const std::vector<PeerLoad> others = {At("a", 7'000), At("c", 3'500)};
  int started = 0;
  for (std::uint64_t random = 0; random < 300; ++random) {
    started += MayStartCopy("b", others, {1'000, 1'000, 0}, random) ? 1 : 0;
  }
  cr_assert(started == 100, "one of three");
}

Test(turns_at_a_leaving_engine, do_not_wait_for_a_host_that_went_silent) {
  const std::vector<PeerLoad> stuck = {At("a", 7'000, 1)};
  cr_assert(!MayStartCopy("b", stuck, {1'000, 1'000, 899}, 0));
  cr_assert(MayStartCopy("b", stuck, {1'000, 1'000, 900}, 0));
}

Test(an_event_stream, is_split_without_changing_a_byte) {
  const std::string whole =
      "id: 0\ndata: a\n\nid: 1\r\ndata: b\r\n\r\n: comment\n\nid:2\ndata: "
      "c\n\n";
  for (std::size_t step = 1; step <= whole.size(); ++step) {
    SseEventSplitter cutter(1'000);
    std::vector<RawSseEvent> events;
    for (std::size_t at = 0; at < whole.size(); at += step) {
      cr_assert(cutter.Feed(whole.substr(at, step), &events));
    }
    std::string joined;
    for (const RawSseEvent& event : events) {
      joined += event.bytes;
    }
    cr_assert(joined == whole && cutter.Rest().empty());
    cr_assert(events.size() == 4);
    cr_assert(events[0].id == 0 && events[1].id == 1 && events[2].id == -1 &&
              events[3].id == 2);
  }
}

Test(an_event_stream, holds_back_an_incomplete_event) {
  SseEventSplitter cutter(1'000);
  std::vector<RawSseEvent> events;
  cutter.Feed("id: 0\ndata: a\n\nid: 1\ndata: hal", &events);
  cr_assert(events.size() == 1 && cutter.Rest() == "id: 1\ndata: hal");
  SseEventSplitter small(10);
  cr_assert(!small.Feed("data: more than ten bytes", &events));
}

}  // namespace
}  // namespace meadowthread
