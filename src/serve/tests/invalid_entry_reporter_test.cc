// What a host logs and counts about invalid documents.
#include "serve/invalid_entry_reporter.h"

#include <criterion/criterion.h>

#include <map>

#include "absl/strings/str_cat.h"
#include "base/json_fields.h"
#include "base/manual_scheduler.h"
#include "base/tests/log_lines.h"

namespace meadowthread {
namespace {

struct Fixture {
  ManualClock clock{1'000};
  std::map<std::string, int> counts;
  InvalidEntryReporter refused{
      this->clock, [this](std::string_view kind, std::string_view field) {
        ++this->counts[absl::StrCat(std::string(kind), ".",
                                    std::string(field))];
      }};
  testing::LogLines log;

  void Report(const std::string& name, const std::string& field,
              std::string_view what = "is missing") {
    this->refused.Report("servers", name, 7,
                         FieldError(ErrorId::kFieldMissing, field, what));
  }
};

Test(an_invalid_entry, is_logged_once_and_counted_each_time) {
  Fixture fixture;
  for (int i = 0; i < 100; ++i) {
    fixture.Report("i-1", "zone");
  }
  cr_assert(fixture.log.Count("entry-refused") == 1);
  cr_assert(fixture.log.Has("kind=servers name=i-1 revision=7 field=zone"));
  cr_assert(fixture.counts["servers.zone"] == 100);
  cr_assert(fixture.refused.InvalidCount() == 1);
}

Test(an_invalid_entry, is_logged_again_if_the_reason_changes_or_it_was_valid) {
  Fixture fixture;
  fixture.Report("i-1", "zone");
  fixture.Report("i-1", "state");
  cr_assert(fixture.log.Count("entry-refused") == 2);
  fixture.refused.Clear("servers", "i-1");
  fixture.refused.Clear("servers", "i-1");
  cr_assert(fixture.log.Count("entry-good-again") == 1);
  fixture.Report("i-1", "state");
  cr_assert(fixture.log.Count("entry-refused") == 3);
}

Test(invalid_entries, are_logged_in_a_limited_number_of_lines_per_minute) {
  Fixture fixture;
  for (int i = 0; i < 100'000; ++i) {
    fixture.Report(absl::StrCat("i-", i), "zone");
  }
  cr_assert(fixture.log.Count("entry-refused") ==
            InvalidEntryReporter::kLinesPerMinute);
  cr_assert(fixture.refused.InvalidCount() ==
            InvalidEntryReporter::kMaxRemembered);
  cr_assert(fixture.counts["servers.zone"] == 100'000);
  fixture.clock.Advance(60'000);
  fixture.Report("i-0", "state");
  cr_assert(fixture.log.Count("entry-refused") ==
            InvalidEntryReporter::kLinesPerMinute + 1);
}

Test(an_invalid_entry, takes_a_short_line_whatever_its_name) {
  Fixture fixture;
  fixture.Report(std::string(100'000, 'x'), "zone", std::string(100'000, 'y'));
  cr_assert(fixture.log.Longest() < 600);
}

}  // namespace
}  // namespace meadowthread
