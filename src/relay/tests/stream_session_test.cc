// Streams: in order, whole, from one run, whatever their engines do.
#include "relay/stream_session.h"

#include <criterion/criterion.h>

#include "relay/tests/relay_fixture.h"

namespace meadowthread {
namespace {

using testing::FakeCaller;
using testing::FakeClient;
using testing::RelayFixture;

std::string Event(int id) {
  return absl::StrCat("id: ", id, "\ndata: t", id, "\n\n");
}

struct StreamStory : RelayFixture {
  explicit StreamStory(int engines) : RelayFixture(engines) {
    this->request.id = "r-1";
    this->request.method = "POST";
    this->request.target = "/x";
    this->request.begun_ms = this->clock.MonotonicMs();
    this->request.generation = GenerationSize{"m", 100, 100, 0};
    this->terms.route = "route";
    this->terms.service = "svc";
    this->terms.rule = RunRule::kStream;
    this->terms.timeout_ms = 10'000;
    this->terms.target_latency_ms = 1'000;
  }

  StreamSession& Begin() {
    this->session = std::make_unique<StreamSession>(
        this->parts, this->stream_parts, this->control, this->callers,
        this->request, this->terms, 4, this->caller.TakeWriter(),
        [this] { ++this->ended; });
    this->session->Begin();
    return *this->session;
  }

  /// @brief Begins, and its engine sends the first event.
  StreamSession& BeginWithEvent() {
    StreamSession& begun = this->Begin();
    this->Open(0);
    this->client.Data(0, Event(0));
    return begun;
  }

  /// @brief The n-th sending's engine begins to stream.
  void Open(std::size_t n) {
    this->client.Head(n, 200,
                      {{std::string(testing::kSignedHeader), "yes"},
                       {"Content-Type", "text/event-stream"}});
  }

  /// @brief Its engine's copy is made, it is stopped, and its stream ends.
  void Move(const std::string& target) {
    cr_assert(this->session->MoveTo(target));
    this->control.Answer(MoveResult::kCopied, "h1");
    this->control.Answer(MoveResult::kCopied, "h2");
    this->CloseStream(this->client.sent.size() - 1);
  }

  /// @brief The engine closes a stream without its end.
  void CloseStream(std::size_t n) {
    HttpEnd end = FakeClient::Whole(200);
    end.ended_by_close = true;
    this->client.End(n, end);
  }

  bool Got(std::string_view text) const {
    return this->caller.Got().find(text) != std::string::npos;
  }
  /// @brief Times that an event reached the caller.
  int Count(int id) const {
    int count = 0;
    const std::string event = Event(id);
    for (std::size_t at = this->caller.Got().find(event);
         at != std::string::npos; at = this->caller.Got().find(event, at + 1)) {
      ++count;
    }
    return count;
  }
  /// @brief Whether the caller's answer ended as a whole one does.
  bool IsWhole() const { return this->caller.Got().ends_with("0\r\n\r\n"); }
  std::string Outcome() const { return this->observer.ends.at(0).outcome; }
  /// @brief An engine's availability zone is its own, and emptied.
  void Emptied(const std::string& engine) {
    BackendEntry entry = this->backends.Find(engine)->entry;
    entry.zone = "zone-of-" + engine;
    this->backends.Set(entry);
    this->backends.SetZoneEmptied(entry.zone, true);
  }
  std::string Other() const {
    return this->session->Engine() == "s-1" ? "s-2" : "s-1";
  }

  /// @brief Another host tells how many prompt tokens an engine has to read.
  void Read(const std::string& engine, std::int64_t tokens) {
    PeerLoad load;
    load.peer = "other";
    load.engine = engine;
    load.as_of_unix_ms = this->clock.WallMs();
    load.reading = tokens;
    this->fleet.NotePeerLoad(load, this->clock.WallMs());
  }
  /// @brief Callers of the route wait ten seconds at first.
  void LearnFirstTries() {
    for (int i = 0; i < 10; ++i) {
      this->first_tries.Elapsed(this->terms.route, 10'000);
    }
  }

  FakeCaller caller;
  RelayRequest request;
  RelayTerms terms;
  std::unique_ptr<StreamSession> session;
  int ended = 0;
};

Test(a_stream, is_passed_on_event_by_event_and_ends_whole) {
  StreamStory story(2);
  story.Begin();
  story.Open(0);
  story.client.Data(0, Event(0) + Event(1).substr(0, 5));
  cr_assert(story.Count(0) == 1 && !story.Got("t1"), "half an event waits");
  story.client.Data(0, Event(1).substr(5));
  cr_assert(story.Count(1) == 1);
  story.client.End(0, FakeClient::Whole(200));
  cr_assert(story.IsWhole() && story.Outcome() == "complete");
  cr_assert(story.ended == 1 && story.client.sent.size() == 1);
}

Test(a_stream, torn_in_an_event_never_looks_whole) {
  StreamStory story(2);
  story.Begin();
  story.Open(0);
  story.client.Data(0, Event(0) + "id: 1\ndata: ha");
  story.client.End(0, FakeClient::Whole(200));
  cr_assert(story.caller.IsBroken() && !story.IsWhole());
  cr_assert(!story.Got("data: ha") && story.Outcome() == "interrupted");
}

Test(a_stream, that_breaks_midway_is_broken_off_and_never_begun_anew) {
  StreamStory story(2);
  story.BeginWithEvent();
  story.client.Break(0, true);
  cr_assert(story.caller.IsBroken() && story.client.sent.size() == 1);
}

Test(a_stream, of_which_events_are_missing_is_broken_off) {
  StreamStory story(2);
  story.BeginWithEvent();
  story.client.Data(0, Event(2));
  cr_assert(story.caller.IsBroken() && story.Count(2) == 0);
  cr_assert(!story.client.IsOpen(0), "its engine need not go on");
}

Test(a_stream, with_an_event_that_came_already_leaves_it_out) {
  StreamStory story(2);
  story.Begin();
  story.Open(0);
  story.client.Data(0, Event(0) + Event(1) + Event(1) + Event(2));
  cr_assert(story.Count(1) == 1 && story.Count(2) == 1);
}

Test(a_stream, that_reached_no_engine_goes_to_the_next) {
  StreamStory story(3);
  story.Begin();
  story.client.Break(0, false);
  cr_assert(story.client.sent.size() == 2);
  cr_assert(!story.caller.IsBroken());
}

Test(a_stream, cut_before_its_first_event_may_have_run) {
  StreamStory story(3);
  story.Begin();
  story.client.Break(0, true);
  cr_assert(story.client.sent.size() == 1);
  cr_assert(story.Got("unknown") && story.Outcome() == "unknown");
}

Test(a_rejected_stream, is_told_so_at_once_with_when_to_come_back) {
  StreamStory story(2);
  story.Begin();
  story.client.Reject(0);
  cr_assert(story.client.sent.size() == 1, "its route allows one engine");
  cr_assert(story.Got("not_run") && story.Got("Retry-After"));
  cr_assert(story.ended == 1);
}

Test(a_stream_without_an_engine, has_not_run) {
  StreamStory story(0);
  story.Begin();
  story.Pass(1'000);
  cr_assert(story.ended == 1 && story.Got("not_run"));
  cr_assert(story.Got("Retry-After: 1") || story.Got("Retry-After: 0.4"));
}

// The pattern: a crowd. Forced onto engines without room, all were late.
Test(a_stream_that_cannot_begin_in_time, is_refused_at_once) {
  StreamStory story(1);
  story.Read("s-1", 20'000);
  story.Begin();
  cr_assert(story.ended == 1 && story.Got("not_run"));
  cr_assert(story.Got("Retry-After") && story.client.sent.empty());
}

Test(a_stream_that_came_back_late, waits_for_room_that_others_leave) {
  StreamStory story(1);
  story.LearnFirstTries();
  story.request.allowed_ms = 7'000;
  story.Read("s-1", 20'000);
  story.Begin();
  story.Pass(500);
  cr_assert(story.ended == 0 && story.client.sent.empty());
  story.Read("s-1", 0);
  for (const SendOrder& order :
       story.dispatcher.Drain(story.clock.WallMs(), story.random())) {
    story.session->SendTo(order.decision);
  }
  cr_assert(story.client.sent.size() == 1);
}

Test(a_stream_that_came_back_late, is_told_before_its_caller_gives_up) {
  StreamStory story(1);
  story.LearnFirstTries();
  story.request.allowed_ms = 7'000;
  story.Read("s-1", 20'000);
  story.Begin();
  story.Pass(3'400);
  cr_assert(story.ended == 0);
  story.Pass(200);
  cr_assert(story.ended == 1 && story.Got("not_run"));
}

Test(a_stream_that_pauses, speaks_against_the_way_from_its_zone) {
  StreamStory story(2);
  story.BeginWithEvent();
  story.Pass(100);
  story.client.Data(0, Event(1));
  cr_assert(story.links.StallRate("z", 1, story.clock.WallMs()) == 0.0);
  story.Pass(200);
  story.client.Data(0, Event(2));
  cr_assert(story.links.StallRate("z", 1, story.clock.WallMs()) > 0.0);
}

Test(an_engines_own_failure, is_passed_on_as_it_is) {
  StreamStory story(2);
  story.Begin();
  story.client.Answer(0, 500, "out of luck");
  cr_assert(story.Got("HTTP/1.1 500") && story.Got("out of luck"));
  cr_assert(story.Outcome() == "answered");
}

Test(a_stream_at_its_deadline, ends_at_once) {
  {
    StreamStory story(2);
    story.Begin();
    story.Pass(10'000);
    cr_assert(story.Outcome() == "unknown" && !story.client.IsOpen(0));
  }
  {
    StreamStory story(2);
    story.BeginWithEvent();
    story.Pass(10'000);
    cr_assert(story.caller.IsBroken() && !story.client.IsOpen(0));
  }
}

Test(a_caller_that_leaves, ends_the_run_at_its_engine) {
  StreamStory story(2);
  story.BeginWithEvent();
  story.caller.Leave();
  cr_assert(story.ended == 1 && !story.client.IsOpen(0));
  cr_assert(story.Outcome() == "caller_gone");
}

Test(a_caller_that_reads_slowly, holds_its_engine_back) {
  StreamStory story(2);
  story.Begin();
  story.Open(0);
  story.caller.SetPending(std::int64_t{1024} * 1024);
  story.client.Data(0, Event(0));
  cr_assert(story.client.paused);
  story.caller.Drain();
  cr_assert(!story.client.paused);
}

Test(a_moved_stream, goes_on_behind_its_last_event) {
  StreamStory story(2);
  StreamSession& session = story.Begin();
  story.Open(0);
  story.client.Data(0, Event(0) + Event(1));
  const std::string target = story.Other();
  story.Move(target);
  cr_assert(story.client.sent.size() == 2 && story.ServerOf(1) == target);
  cr_assert(story.Header(1, "After") == "1");
  cr_assert(story.Header(1, "From").ends_with("/h2"));
  story.Open(1);
  story.client.Data(1, Event(1) + Event(2));
  cr_assert(story.Count(1) == 1 && story.Count(2) == 1);
  story.client.End(1, FakeClient::Whole(200));
  cr_assert(story.IsWhole() && session.Phase() == StreamPhase::kEnded);
  cr_assert(story.observer.ends[0].moves == 1);
}

Test(a_moved_stream, waits_until_its_first_engine_has_ended_it) {
  StreamStory story(2);
  story.BeginWithEvent();
  cr_assert(story.session->MoveTo(story.Other()));
  story.control.Answer(MoveResult::kCopied, "h1");
  story.control.Answer(MoveResult::kCopied, "h2");
  cr_assert(story.client.sent.size() == 1, "two engines never work on one run");
  story.client.Data(0, Event(1));
  story.CloseStream(0);
  cr_assert(story.client.sent.size() == 2);
  cr_assert(story.Header(1, "After") == "1");
}

Test(a_moved_stream, that_its_target_rejects_goes_on_at_its_source) {
  StreamStory story(2);
  story.BeginWithEvent();
  const std::string source = story.session->Engine();
  story.Move(story.Other());
  story.client.Reject(1);
  cr_assert(story.client.sent.size() == 3 && story.ServerOf(2) == source);
  story.Open(2);
  story.client.Data(2, Event(1));
  story.client.End(2, FakeClient::Whole(200));
  cr_assert(story.IsWhole() && story.Count(1) == 1);
}

// The word of its zone came while the run was copied there.
Test(a_moved_stream, ends_at_a_target_whose_zone_is_being_emptied) {
  StreamStory story(2);
  story.BeginWithEvent();
  const std::string source = story.session->Engine();
  const std::string target = story.Other();
  cr_assert(story.session->MoveTo(target));
  story.Emptied(target);
  story.control.Answer(MoveResult::kCopied, "h1");
  story.control.Answer(MoveResult::kCopied, "h2");
  story.CloseStream(0);
  cr_assert(story.ServerOf(1) == target, "the bound leaves time for that");
}

Test(a_moved_stream, goes_back_where_its_target_s_zone_was_emptied_long_ago) {
  StreamStory story(2);
  story.BeginWithEvent();
  const std::string source = story.session->Engine();
  const std::string target = story.Other();
  cr_assert(story.session->MoveTo(target));
  story.Emptied(target);
  story.Pass(Backend::kGoesOnMs);
  story.control.Answer(MoveResult::kCopied, "h1");
  story.control.Answer(MoveResult::kCopied, "h2");
  story.CloseStream(0);
  cr_assert(story.client.sent.size() == 2 && story.ServerOf(1) == source);
}

Test(a_moved_stream, goes_on_nowhere_where_all_zones_are_emptied) {
  StreamStory story(2);
  story.BeginWithEvent();
  cr_assert(story.session->MoveTo(story.Other()));
  story.Emptied("s-1");
  story.Emptied("s-2");
  story.Pass(Backend::kGoesOnMs);
  story.control.Answer(MoveResult::kCopied, "h1");
  story.control.Answer(MoveResult::kCopied, "h2");
  story.CloseStream(0);
  cr_assert(story.client.sent.size() == 1 && story.Outcome() == "interrupted");
}

// A rejection at the target sends it back: only outside emptied zones.
Test(a_moved_stream, does_not_go_back_to_an_emptied_zone) {
  StreamStory story(2);
  story.BeginWithEvent();
  const std::string source = story.session->Engine();
  story.Move(story.Other());
  story.Emptied(source);
  story.Pass(Backend::kGoesOnMs);
  story.client.Reject(1);
  cr_assert(story.client.sent.size() == 2 && story.Outcome() == "interrupted");
}

Test(a_moved_stream, waits_until_its_source_may_be_sent_something_again) {
  StreamStory story(2);
  story.BeginWithEvent();
  const std::string source = story.session->Engine();
  story.arrivals.SetHosts(std::vector<std::string>{"self"});
  story.arrivals.SetServer(source, {1.0, 1.0}, 0);
  story.Move(story.Other());
  story.arrivals.NoteSent(source, story.clock.MonotonicMs());
  story.client.Reject(1);
  cr_assert(story.client.sent.size() == 2, "it has had its second's request");
  story.Pass(500);
  cr_assert(story.client.sent.size() == 2);
  for (int step = 0; step < 40; ++step) {
    story.Pass(20);
  }
  cr_assert(story.client.sent.size() == 3 && story.ServerOf(2) == source);
}

// A copy's run is sent there for certain, so that it counts from the start.
Test(a_moving_stream, holds_its_place_at_the_target) {
  StreamStory story(2);
  story.BeginWithEvent();
  const std::string target = story.Other();
  story.arrivals.SetHosts(std::vector<std::string>{"self"});
  story.arrivals.SetServer(target, {1.0, 1.0}, 0);
  cr_assert(story.session->MoveTo(target));
  cr_assert(!story.arrivals.May(target, story.clock.MonotonicMs()));
  story.Pass(3'000);
  cr_assert(!story.arrivals.May(target, story.clock.MonotonicMs()));
  story.control.Answer(MoveResult::kNoRoom);
  cr_assert(story.arrivals.May(target, story.clock.MonotonicMs()));
}

Test(a_moved_stream, that_nobody_takes_is_broken_off) {
  StreamStory story(2);
  story.BeginWithEvent();
  story.Move(story.Other());
  story.client.Reject(1);
  story.client.Reject(2);
  cr_assert(story.ended == 1 && story.caller.IsBroken());
}

// The target may be at work on it: sent back to its source, two would be.
Test(a_moved_stream, cut_after_it_was_sent_is_not_sent_to_its_source) {
  StreamStory story(2);
  story.BeginWithEvent();
  story.Move(story.Other());
  story.client.Break(1, true);
  cr_assert(story.client.sent.size() == 2 && story.caller.IsBroken());
}

Test(a_stream_whose_engine_starts_again, is_broken_off_once_it_is_silent) {
  StreamStory story(1);
  story.BeginWithEvent();
  const std::string before = story.session->Engine();
  const std::string next = story.StartAgain(before);
  story.session->NoteStartedAgain(before);
  cr_assert(!story.session->EndIfSilent(1'000));
  story.client.Data(0, Event(1));
  story.Pass(999);
  cr_assert(!story.session->EndIfSilent(1'000) && story.Count(1) == 1);
  story.Pass(1);
  cr_assert(story.session->EndIfSilent(1'000));
  cr_assert(story.ended == 1 && story.caller.IsBroken());
  cr_assert(story.client.sent.size() == 1, "it is not run again");
  // What it did is the start's before.
  cr_assert(story.health.FailureShare(next, 0) == 0.0);
}

Test(a_stream_whose_engine_starts_again, ends_whole_where_all_of_it_came) {
  StreamStory story(1);
  story.BeginWithEvent();
  const std::string before = story.session->Engine();
  story.StartAgain(before);
  story.session->NoteStartedAgain(before);
  story.client.Data(0, Event(1));
  story.client.End(0, FakeClient::Whole(200));
  cr_assert(story.IsWhole() && story.Count(1) == 1);
}

Test(a_stream_whose_engine_starts_again, waits_for_a_caller_that_reads_slowly) {
  StreamStory story(1);
  story.BeginWithEvent();
  story.caller.SetPending(std::int64_t{1024} * 1024);
  story.client.Data(0, Event(1));
  cr_assert(story.client.paused);
  story.caller.SetPending(1);
  story.StartAgain("s-1");
  story.session->NoteStartedAgain("s-1");
  story.Pass(5'000);
  cr_assert(!story.session->EndIfSilent(1'000));
  // What waited at the engine's end of the connection comes now.
  story.caller.Drain();
  cr_assert(!story.session->EndIfSilent(1'000));
  story.client.Data(0, Event(2));
  story.client.End(0, FakeClient::Whole(200));
  cr_assert(story.IsWhole() && story.Count(2) == 1);
}

Test(a_stream_whose_engine_starts_again, may_not_have_begun_there) {
  StreamStory story(1);
  story.Begin();
  story.StartAgain("s-1");
  story.session->NoteStartedAgain("s-1");
  story.Pass(3'000);
  cr_assert(!story.session->EndIfSilent(1'000),
            "the new start may read its prompt");
}

Test(a_stream_whose_engine_starts_again, goes_on_at_the_target_of_its_copy) {
  StreamStory story(2);
  story.BeginWithEvent();
  const std::string target = story.Other();
  cr_assert(story.session->MoveTo(target));
  story.control.Answer(MoveResult::kCopied, "h1");
  const std::string source = story.session->Engine();
  story.StartAgain(source);
  story.session->NoteStartedAgain(source);
  story.control.Answer(MoveResult::kNoRun);
  story.Pass(1'000);
  cr_assert(story.session->EndIfSilent(1'000));
  cr_assert(story.client.sent.size() == 2 && story.ServerOf(1) == target);
  cr_assert(story.Header(1, "From").ends_with("/h1"));
  story.client.Reject(1);
  cr_assert(story.client.sent.size() == 2 && story.caller.IsBroken(),
            "the source's new start knows nothing of the handle");
}

Test(a_moved_stream, whose_target_starts_again_goes_on_at_its_source) {
  StreamStory story(2);
  story.BeginWithEvent();
  const std::string source = story.session->Engine();
  const std::string target = story.Other();
  cr_assert(story.session->MoveTo(target));
  story.control.Answer(MoveResult::kCopied, "h1");
  story.control.Answer(MoveResult::kCopied, "h2");
  story.StartAgain(target);
  story.session->NoteStartedAgain(target);
  story.CloseStream(0);
  cr_assert(story.client.sent.size() == 2 && story.ServerOf(1) == source);
  cr_assert(story.Header(1, "From").ends_with("/h2"));
}

Test(a_moved_stream, that_its_targets_new_start_rejects_goes_back) {
  StreamStory story(2);
  story.BeginWithEvent();
  const std::string source = story.session->Engine();
  const std::string target = story.Other();
  story.Move(target);
  story.StartAgain(target);
  story.session->NoteStartedAgain(target);
  story.client.Reject(1);
  cr_assert(story.client.sent.size() == 3 && story.ServerOf(2) == source);
}

Test(a_move_that_found_no_room, leaves_the_stream_as_it_was) {
  StreamStory story(2);
  story.BeginWithEvent();
  cr_assert(story.session->MoveTo(story.Other()));
  story.control.Answer(MoveResult::kNoRoom);
  cr_assert(!story.session->IsMoving());
  cr_assert(story.fleet.Find(story.Other())->no_room_until_ms >
            story.clock.WallMs());
  story.client.Data(0, Event(1));
  story.client.End(0, FakeClient::Whole(200));
  cr_assert(story.IsWhole() && story.Count(1) == 1);
}

Test(a_stream_that_ends_while_it_moves, is_whole_and_frees_its_copy) {
  StreamStory story(2);
  story.BeginWithEvent();
  cr_assert(story.session->MoveTo(story.Other()));
  story.control.Answer(MoveResult::kCopied, "h1");
  story.client.End(0, FakeClient::Whole(200));
  cr_assert(story.IsWhole() && story.Outcome() == "complete");
  cr_assert(story.control.dropped == std::vector<std::string>{"h1"});
}

Test(a_stream_whose_host_ends, is_refused_as_not_run_while_no_engine_has_it) {
  StreamStory story(0);
  story.terms.target_latency_ms = 10'000;
  story.Begin().EndWithHost(700);
  cr_assert(story.Got("HTTP/1.1 503") && story.Got("Retry-After: 1"));
  cr_assert(story.Outcome() == "not_run" && story.ended == 1);
}

Test(a_stream_whose_host_ends, never_looks_whole_nor_as_not_run_where_it_ran) {
  StreamStory waiting(1);
  waiting.Begin().EndWithHost(700);
  cr_assert(!waiting.Got("Retry-After") && waiting.Outcome() == "unknown");
  StreamStory streaming(1);
  streaming.BeginWithEvent().EndWithHost(700);
  cr_assert(streaming.Count(0) == 1 && !streaming.IsWhole());
  cr_assert(streaming.Outcome() == "interrupted");
  cr_assert(streaming.client.cancelled == 1);
}

/// @brief A host that hands out places by what it knew a moment ago.
class BelatedAllocation final : public EngineAllocation {
 public:
  void Choose(const WorkItem&, const Chosen& chosen) override {
    this->asked.push_back(chosen);
  }
  bool IsShared() const override { return true; }
  void AskMove(const MoveAsk&, const Chosen& granted) override {
    granted(Decision{});
  }
  void MoveOver(const MoveAsk&) override {}

  /// @brief The n-th ask is answered.
  void Give(std::size_t n, const std::string& engine) {
    Decision decision;
    decision.engine = engine;
    this->asked.at(n)(decision);
  }
  std::vector<Chosen> asked;
};

// The host that handed out the place had not heard of it.
Test(an_engine_that_left, gets_no_stream_that_another_host_placed_there) {
  StreamStory story(2);
  BelatedAllocation allocation;
  StreamParts parts{allocation,        story.dispatcher, story.fleet,
                    story.first_tries, story.admission,  story.links};
  StreamSession session(story.parts, parts, story.control, story.callers,
                        story.request, story.terms, 4,
                        story.caller.TakeWriter(), [] {});
  session.Begin();
  story.backends.Remove("s-1");
  allocation.Give(0, "s-1");
  cr_assert(story.client.sent.empty(), "not sent where it can't stay");
  story.Pass(1'000);
  cr_assert(allocation.asked.size() == 2, "asked for another place");
  allocation.Give(1, "s-2");
  cr_assert(story.client.sent.size() == 1 && story.ServerOf(0) == "s-2");
}

// Its host hears that the target leaves between the order and its turn.
Test(an_engine_that_left, is_no_target_of_a_run_that_moves) {
  StreamStory story(3);
  StreamSession& session = story.BeginWithEvent();
  story.backends.Remove(story.Other());
  cr_assert(!session.MoveTo(story.Other()));
  cr_assert(story.control.orders.empty());
}

}  // namespace
}  // namespace meadowthread
