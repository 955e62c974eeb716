#include "serve/fleet_load_adapter.h"

#include <criterion/criterion.h>

#include "exchange/load_datagrams.h"
#include "policy/length_model.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kNow = 1'000'000;

/// @brief A host with its view of a fleet of one engine.
struct LoadHost {
  explicit LoadHost(std::string_view host)
      : fleet(this->lengths), notes(host, this->clock, this->fleet) {
    this->fleet.SetEngine({"e1", "pasig-hall", true, false}, kNow);
    LoadReport report;
    report.engine = "e1";
    report.as_of_unix_ms = kNow;
    report.kv_capacity = 10'000;
    this->fleet.ApplyReport(report, kNow);
  }

  LearnedLengthModel lengths;
  ManualClock clock{kNow};
  FleetState fleet;
  FleetLoadAdapter notes;
};

WorkItem Work() {
  WorkItem work;
  work.request = "r-1";
  work.workspace = "makati";
  work.model = "reconcile";
  work.prompt_tokens = 100;
  work.max_output_tokens = 500;
  return work;
}

Test(a_load_note, adds_a_hosts_work_to_its_peers_forecast) {
  LoadHost one("entry-1");
  LoadHost two("entry-2");
  one.fleet.NoteSent(Work(), "e1", kNow);
  const auto notes = one.notes.NotesFor("entry-2", 16);
  cr_assert(notes.size() == 1);
  cr_assert(two.fleet.Forecast(0, kNow).MaxExpectedTokens() < 1.0);
  two.notes.OnNotes("entry-1", notes);
  const double seen = two.fleet.Forecast(0, kNow).MaxExpectedTokens();
  const double own = one.fleet.Forecast(0, kNow).MaxExpectedTokens();
  cr_assert(own > 100.0);
  cr_assert(seen > own - 2.0 && seen < own + 2.0);
  cr_assert(two.fleet.InFlight(0, kNow) == 1);
}

Test(a_load_note, reports_that_the_work_has_ended) {
  LoadHost one("entry-1");
  LoadHost two("entry-2");
  one.fleet.NoteSent(Work(), "e1", kNow);
  two.notes.OnNotes("entry-1", one.notes.NotesFor("entry-2", 16));
  one.clock.Advance(300);
  one.fleet.NoteEnded("r-1", StreamEnd::kComplete, kNow + 300);
  two.notes.OnNotes("entry-1", one.notes.NotesFor("entry-2", 16));
  cr_assert(two.fleet.InFlight(0, kNow + 300) == 0);
}

// Guards against an engine that stays busy in other hosts' eyes for seconds
// after its work has ended, as the one message of the end was lost.
Test(a_load_note, of_ended_work_is_among_the_next_notes_that_are_all_sent) {
  LoadHost one("entry-1");
  one.fleet.NoteSent(Work(), "e1", kNow);
  cr_assert(one.notes.NotesFor("entry-2", 16).size() == 1);
  one.fleet.NoteEnded("r-1", StreamEnd::kComplete, kNow);
  one.clock.Advance(50);
  cr_assert(one.notes.NotesFor("entry-2", 16).size() == 1, "sent, and lost");
  one.clock.Advance(kLoadResendMs);
  const auto again = one.notes.NotesFor("entry-2", 16);
  cr_assert(again.size() == 1 && again[0].in_flight == 0);
}

Test(a_load_note, with_an_outlook_of_the_wrong_length_is_ignored) {
  LoadHost two("entry-2");
  EngineLoadNote note;
  note.engine = "e1";
  note.in_flight = 5;
  note.as_of_unix_ms = kNow;
  note.outlook = {1, 2, 3};
  two.notes.OnNotes("entry-1", {&note, 1});
  cr_assert(two.fleet.InFlight(0, kNow) == 0);
}

}  // namespace
}  // namespace meadowthread
