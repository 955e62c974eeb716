#include "policy/fleet_state.h"

#include <criterion/criterion.h>
#include <malloc.h>

#include <array>
#include <string>
#include <vector>

#include "policy/prefix_hints.h"
#include "policy/tests/fleet_fixture.h"

namespace meadowthread {
namespace {

using testing::EngineName;
using testing::Fleet;
using testing::ReportOf;
using testing::Work;

Test(a_fleet_state, finds_engines_by_model_and_version) {
  Fleet fleet(2);
  WorkItem work = Work("r");
  cr_assert(fleet.state.Serving(work).size() == 2);
  work.version = "";
  cr_assert(fleet.state.Serving(work).size() == 2);
  work.version = "2";
  cr_assert(fleet.state.Serving(work).empty());
  // The engine loads another version in place of the first.
  LoadReport report = ReportOf(0, 1);
  report.models = {{"m", "", "2"}};
  fleet.state.ApplyReport(report, 1);
  cr_assert(fleet.state.Serving(work).size() == 1);
  work.version = "1";
  cr_assert(fleet.state.Serving(work).size() == 1);
}

// A restarted engine has a new key, so that the state treats it as another
// engine.
Test(a_fleet_state, keeps_no_state_of_an_engine_after_its_restart) {
  Fleet fleet(1);
  WorkItem work = Work("a");
  work.prefix_hash = 77;
  fleet.state.NoteSent(work, "e0", 10);
  fleet.state.SetFailureShare("e0", 0.9);
  fleet.state.MarkUnreachable("e0", 99'000);
  fleet.state.NoteCopyRefused("e0", 10);
  fleet.state.SetCopies("e0", 1);
  PeerLoad peer{"h", "e0", 10, 3, 500, 100, 1, {}};
  fleet.state.NotePeerLoad(peer, 10);
  fleet.state.RemoveEngine("e0");
  EngineListing next{"e0/2", "z", true, false};
  next.models = {{"m", "", "1"}};
  fleet.state.SetEngine(next, 20);
  // A peer's load and a delayed load report still refer to the engine as it was
  // before its restart.
  fleet.state.NotePeerLoad(peer, 21);
  LoadReport late = ReportOf(0, 22);
  late.running = 9;
  late.leaving = true;
  fleet.state.ApplyReport(late, 22);
  const EngineView& view = *fleet.state.Find("e0/2");
  cr_assert(view.live && !view.leaving && view.running == 0);
  cr_assert(view.own_in_flight == 0 && view.own_kv == 0);
  cr_assert(view.failure_share == 0.0 && view.unreachable_until_ms == 0 &&
            view.no_room_until_ms == 0);
  cr_assert(fleet.state.PeersAt("e0/2", 22).empty());
  const EngineIndex place = fleet.state.Serving(work).back();
  cr_assert(fleet.state.View(place).engine == "e0/2" &&
            !fleet.state.IsLinkBusy(place, 22) &&
            fleet.state.PrefillBacklog(place, 22) == 0);
  // The stream that was sent to the engine before its restart ends.
  fleet.state.NoteEnded("a", StreamEnd::kCut, 30);
  cr_assert(view.own_in_flight == 0);
}

Test(a_fleet_state, forgets_prefixes_with_the_engine_that_had_them) {
  Fleet fleet(1);
  WorkItem work = Work("a");
  work.prefix_hash = 77;
  fleet.state.NoteSent(work, "e0", 10);
  fleet.state.NoteEnded("a", StreamEnd::kComplete, 20);
  cr_assert(fleet.state.EnginesWithPrefix(work).size() == 1);
  // The new incarnation in the report shows that the engine was restarted under
  // the same name.
  LoadReport report = ReportOf(0, 30);
  report.incarnation = "2";
  fleet.state.ApplyReport(report, 30);
  cr_assert(fleet.state.EnginesWithPrefix(work).empty());
  // The prefix is also forgotten when another engine reuses the slot.
  fleet.state.NoteSent(work, "e0", 40);
  fleet.state.NoteEnded("a", StreamEnd::kComplete, 50);
  fleet.state.RemoveEngine("e0");
  fleet.state.SetEngine({"e9", "z", true, false}, 60);
  cr_assert(fleet.state.EnginesWithPrefix(work).empty());
}

Test(a_fleet_state, counts_its_own_streams_exactly) {
  Fleet fleet(1);
  fleet.state.NoteSent(Work("a"), "e0", 10);
  fleet.state.NoteSent(Work("b"), "e0", 11);
  fleet.state.NoteTokens("a", 40, 20);
  cr_assert(fleet.state.View(0).own_in_flight == 2);
  cr_assert(fleet.state.View(0).own_kv == 240);
  fleet.state.NoteEnded("a", StreamEnd::kComplete, 30);
  cr_assert(fleet.state.View(0).own_kv == 100);
  fleet.state.NoteTokens("b", 7, 31);
  fleet.state.NoteEnded("b", StreamEnd::kCut, 32);
  fleet.state.NoteEnded("b", StreamEnd::kCut, 33);
  cr_assert(fleet.state.View(0).own_kv == 0);
  cr_assert(fleet.state.View(0).own_in_flight == 0);
}

// mallinfo2 counts memory-mapped blocks separately.
std::size_t BytesInUse() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Guards against unbounded growth: ended streams were kept until the next load
// report, and some engines send none.
Test(a_fleet_state, keeps_no_old_streams_of_an_engine_that_never_reports) {
  Fleet fleet(1);
  constexpr int kStreams = 200'000;
  constexpr std::size_t kAllowedBytes = 1'000'000;
  const std::size_t before = BytesInUse();
  for (int i = 0; i < kStreams; ++i) {
    fleet.state.NoteSent(Work("a"), "e0", i);
    fleet.state.NoteEnded("a", StreamEnd::kCut, i);
  }
  cr_assert(BytesInUse() < before + kAllowedBytes);
}

Test(a_fleet_state, ignores_a_report_older_than_the_last) {
  Fleet fleet(1);
  LoadReport report = ReportOf(0, 100);
  report.running = 5;
  fleet.state.ApplyReport(report, 110);
  report.as_of_unix_ms = 50;
  report.running = 1;
  fleet.state.ApplyReport(report, 120);
  cr_assert(fleet.state.View(0).running == 5);
}

Test(a_fleet_state, treats_an_engine_as_leaving_if_either_source_says_so) {
  Fleet fleet(1);
  LoadReport report = ReportOf(0, 10);
  report.leaving = true;
  fleet.state.ApplyReport(report, 20);
  fleet.state.SetEngine({EngineName(0), "z", true, false}, 30);
  cr_assert(!fleet.state.View(0).Usable());
  // It also counts as leaving if only the host list says so.
  fleet.state.SetEngine({EngineName(0), "z", true, true}, 40);
  fleet.state.ApplyReport(ReportOf(0, 45), 50);
  cr_assert(!fleet.state.View(0).Usable());
  // It is usable again only once the host list and the load report both say
  // that it stays.
  fleet.state.SetEngine({EngineName(0), "z", true, false}, 60);
  cr_assert(fleet.state.View(0).Usable());
}

Test(a_fleet_state, does_not_count_own_work_twice) {
  Fleet fleet(1);
  fleet.state.NoteSent(Work("a"), "e0", 10);
  LoadReport report = ReportOf(0, 50);
  report.running = 1;
  report.kv_used = 100;
  fleet.state.ApplyReport(report, 60);
  cr_assert(fleet.state.InFlight(0, 60) == 1);
}

Test(a_fleet_state, adds_work_sent_since_the_report) {
  Fleet fleet(1);
  LoadReport report = ReportOf(0, 50);
  report.running = 2;
  report.kv_used = 2'000;
  fleet.state.ApplyReport(report, 60);
  const double before = fleet.state.Forecast(0, 60).MaxExpectedTokens();
  fleet.state.NoteSent(Work("a"), "e0", 70);
  cr_assert(fleet.state.InFlight(0, 70) == 3);
  cr_assert(fleet.state.Forecast(0, 70).MaxExpectedTokens() > before);
}

Test(a_fleet_state, uses_peer_loads_until_they_are_outdated) {
  Fleet theirs(1);
  Fleet fleet(1);
  theirs.state.NoteSent(Work("a"), "e0", 10);
  const std::vector<PeerLoad> reported = theirs.state.OwnLoad("peer", 20);
  cr_assert(reported.size() == 1);
  fleet.state.NotePeerLoad(reported[0], 25);
  cr_assert(fleet.state.InFlight(0, 30) == 1);
  cr_assert(fleet.state.Forecast(0, 30).MaxExpectedTokens() > 100);
  cr_assert(fleet.state.InFlight(0, 60'000) == 0);
  cr_assert(fleet.state.Forecast(0, 60'000).MaxExpectedTokens() < 1);
}

Test(a_fleet_state, reports_once_to_peers_that_its_work_ended) {
  Fleet fleet(1);
  fleet.state.NoteSent(Work("a"), "e0", 10);
  cr_assert(fleet.state.OwnLoad("me", 20).size() == 1);
  fleet.state.NoteEnded("a", StreamEnd::kCut, 30);
  const std::vector<PeerLoad> last = fleet.state.OwnLoad("me", 40);
  cr_assert(last.size() == 1 && last[0].in_flight == 0);
  cr_assert(fleet.state.OwnLoad("me", 50).empty());
}

Test(a_fleet_state, slow_starts_a_returning_engine) {
  Fleet fleet(1);
  fleet.state.EngineStalled("e0", 100);
  cr_assert(!fleet.state.View(0).Usable());
  fleet.state.EngineBack("e0", 5'000);
  cr_assert(fleet.state.View(0).Usable());
  cr_assert(fleet.state.SlowStartShare(0, 5'000) < 0.2);
  cr_assert(fleet.state.SlowStartShare(0, 60'000) == 1.0);
}

Test(an_engine, is_preferred_by_exactly_one_host) {
  const std::vector<std::string> hosts = {"h0", "h1", "h2"};
  std::array<int, 3> counts = {};
  Fleet fleet(30);
  cr_assert(fleet.state.IsPreferred(0));
  std::vector<int> preferring(30, 0);
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    fleet.state.SetHosts(hosts[i], hosts);
    for (const EngineIndex engine : fleet.state.PreferredEngines()) {
      cr_assert(fleet.state.IsPreferred(engine));
      ++preferring[engine];
      ++counts[i];
    }
  }
  for (const int count : preferring) {
    cr_assert(count == 1);
  }
  for (const int count : counts) {
    cr_assert(count >= 4);
  }
}

Test(a_prefix_hint, names_the_newest_engines_and_stays_bounded) {
  PrefixHints hints(2);
  for (std::uint32_t engine = 0; engine < 6; ++engine) {
    hints.NoteStored(11, engine);
  }
  cr_assert(hints.EnginesOf(11).size() == PrefixHints::kMaxEnginesPerPrefix);
  cr_assert(hints.EnginesOf(11)[0] == 5);
  hints.NoteEvicted(11, 5);
  cr_assert(hints.EnginesOf(11)[0] == 4);
  hints.NoteStored(12, 0);
  hints.NoteStored(13, 0);
  cr_assert(hints.Size() == 2);
  cr_assert(hints.EnginesOf(11).empty());
}

Test(prompts_on_an_engine, are_prefill_backlog_until_their_first_event) {
  Fleet fleet(1);
  WorkItem first = testing::Work("r1");
  first.prompt_tokens = 2'000;
  WorkItem second = testing::Work("r2");
  second.prompt_tokens = 1'000;
  fleet.state.NoteSent(first, "e0", 0);
  fleet.state.NoteSent(second, "e0", 0);
  cr_assert(fleet.state.PrefillBacklog(0, 0) == 3'000);
  // The second stream's first event waited for both prompts: 900 ms for 3,000
  // tokens.
  const double before = fleet.state.Prefill().MsPerToken();
  fleet.state.NoteTokens("r2", 4, 900);
  cr_assert(fleet.state.PrefillBacklog(0, 900) == 2'000);
  cr_assert(fleet.state.Prefill().MsPerToken() > before);
  const double after = fleet.state.Prefill().MsPerToken();
  fleet.state.NoteTokens("r2", 8, 5'000);
  cr_assert(fleet.state.Prefill().MsPerToken() == after,
            "only the first event is measured");
}

// Guards against counting a KV-cache copy as a prompt to prefill, which kept
// new work away from the copy's target engine.
Test(a_kv_cache_copy, adds_no_prefill_backlog) {
  Fleet fleet(1);
  WorkItem copy = testing::Work("copy/r1");
  copy.prompt_tokens = 4'000;
  copy.is_copy = true;
  fleet.state.NoteSent(copy, "e0", 0);
  cr_assert(fleet.state.PrefillBacklog(0, 0) == 0);
  cr_assert(fleet.state.Find("e0")->own_kv == 4'000);
}

// If an allocator chose the engine, its answer tells the host how many prompt
// tokens are ahead of the request's own. The host reports to the allocator how
// long their prefill took.
Test(a_first_event, measures_the_prefill_of_all_tokens_ahead) {
  testing::Fleet fleet(1);
  std::vector<PrefillObservation> reported;
  fleet.state.OnPrefillObserved([&reported](const PrefillObservation& seen) {
    reported.push_back(seen);
  });
  WorkItem work = testing::Work("r");
  work.prompt_tokens = 2'000;
  work.prefill_ahead_tokens = 6'000;
  fleet.state.NoteSent(work, "e0", 1'000);
  fleet.state.NoteTokens("r", 4, 1'800);
  fleet.state.NoteTokens("r", 8, 1'900);
  cr_assert(reported.size() == 1 && reported[0].engine == "e0");
  cr_assert(reported[0].tokens == 8'000 && reported[0].took_ms == 800);
  testing::Fleet other(1);
  const double before = other.state.Prefill().MsPerToken();
  other.state.ObservePrefill(reported[0]);
  cr_assert(other.state.Prefill().MsPerToken() < before,
            "the measured rate is 0.1 ms per token");
}

/// @brief A stream whose events are 36 ms apart, four tokens each.
struct MeasuredStream {
  explicit MeasuredStream(FleetOptions options = {})
      : state(this->lengths, options) {
    for (const int engine : {0, 1}) {
      this->state.SetEngine({testing::EngineName(engine), "z", true, false}, 0);
      this->state.ApplyReport(testing::ReportOf(engine, 0), 0);
    }
    this->state.OnSpeedObserved([this](const SpeedObservation& seen) {
      this->reported.push_back(seen);
    });
    WorkItem work = testing::Work("r");
    work.tokens_per_event = 4;
    this->state.NoteSent(work, "e0", 0);
  }
  void Generate(int events) {
    for (int n = 0; n < events; ++n) {
      this->now_ms += 36;
      this->tokens += 4;
      this->state.NoteTokens("r", this->tokens, this->now_ms);
    }
  }

  LearnedLengthModel lengths;
  FleetState state;
  std::vector<SpeedObservation> reported;
  std::int64_t now_ms = 1'000;
  std::int64_t tokens = 0;
};

Test(the_events_of_a_stream, measure_the_speed_of_its_engine) {
  MeasuredStream stream;
  stream.Generate(20);
  cr_assert(!stream.reported.empty());
  cr_assert(stream.reported[0].engine == "e0");
  cr_assert(stream.reported[0].typical_us == 9'000 &&
            stream.reported[0].longest_us == 9'000);
  cr_assert(stream.state.Speeds().IsKnown(0));
}

// Guards against counting the copy of a run as a pause of its new engine.
Test(a_stream_that_was_migrated, does_not_measure_the_time_of_its_migration) {
  MeasuredStream stream;
  stream.Generate(3);
  stream.now_ms += 700;
  stream.state.NoteMoved("r", "e1", stream.now_ms);
  stream.now_ms += 700;
  stream.Generate(20);
  cr_assert(!stream.reported.empty());
  cr_assert(stream.reported[0].engine == "e1");
  cr_assert(stream.reported[0].longest_us == 9'000);
}

Test(an_engine_that_left_or_started_again, has_to_be_measured_anew) {
  MeasuredStream stream;
  stream.Generate(20);
  LoadReport started_again = testing::ReportOf(0, stream.now_ms);
  started_again.incarnation = "2";
  stream.state.ApplyReport(started_again, stream.now_ms);
  cr_assert(!stream.state.Speeds().IsKnown(0));
  stream.state.ObserveSpeed({"e1", 9'000, 9'000});
  cr_assert(stream.state.Speeds().IsKnown(1));
  stream.state.RemoveEngine("e1");
  cr_assert(!stream.state.Speeds().IsKnown(1));
}

Test(speeds_that_are_not_measured, are_neither_reported_nor_used) {
  MeasuredStream stream(FleetOptions{.measures_speeds = false});
  stream.Generate(40);
  stream.state.ObserveSpeed({"e1", 9'000, 9'000});
  cr_assert(stream.reported.empty());
  cr_assert(!stream.state.Speeds().IsKnown(0) &&
            !stream.state.Speeds().IsKnown(1));
}

}  // namespace
}  // namespace meadowthread
