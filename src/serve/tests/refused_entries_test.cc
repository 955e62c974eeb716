// What a host tells of documents that it can't use.
#include "serve/refused_entries.h"

#include <criterion/criterion.h>

#include <map>

#include "absl/strings/str_cat.h"
#include "base/json_fields.h"
#include "base/manual_scheduler.h"
#include "base/tests/log_lines.h"

namespace meadowthread {
namespace {

struct Story {
  ManualClock clock{1'000};
  std::map<std::string, int> counts;
  RefusedEntries refused{this->clock,
                         [this](std::string_view kind, std::string_view field) {
                           ++this->counts[absl::StrCat(std::string(kind), ".",
                                                       std::string(field))];
                         }};
  testing::LogLines log;

  void Refuse(const std::string& name, const std::string& field,
              std::string_view what = "is missing") {
    this->refused.Refuse("servers", name, 7,
                         FieldError(ErrorId::kFieldMissing, field, what));
  }
};

Test(a_refused_entry, is_told_once_and_counted_each_time) {
  Story story;
  for (int i = 0; i < 100; ++i) {
    story.Refuse("i-1", "zone");
  }
  cr_assert(story.log.Count("entry-refused") == 1);
  cr_assert(story.log.Has("kind=servers name=i-1 revision=7 field=zone"));
  cr_assert(story.counts["servers.zone"] == 100);
  cr_assert(story.refused.Standing() == 1);
}

Test(a_refused_entry, is_told_again_when_why_changes_or_it_was_good) {
  Story story;
  story.Refuse("i-1", "zone");
  story.Refuse("i-1", "state");
  cr_assert(story.log.Count("entry-refused") == 2);
  story.refused.Forget("servers", "i-1");
  story.refused.Forget("servers", "i-1");
  cr_assert(story.log.Count("entry-good-again") == 1);
  story.Refuse("i-1", "state");
  cr_assert(story.log.Count("entry-refused") == 3);
}

Test(refused_entries, tell_no_more_than_a_bounded_number_of_lines_a_minute) {
  Story story;
  for (int i = 0; i < 100'000; ++i) {
    story.Refuse(absl::StrCat("i-", i), "zone");
  }
  cr_assert(story.log.Count("entry-refused") ==
            RefusedEntries::kLinesPerMinute);
  cr_assert(story.refused.Standing() == RefusedEntries::kMostRemembered);
  cr_assert(story.counts["servers.zone"] == 100'000);
  story.clock.Advance(60'000);
  story.Refuse("i-0", "state");
  cr_assert(story.log.Count("entry-refused") ==
            RefusedEntries::kLinesPerMinute + 1);
}

Test(a_refused_entry, takes_a_short_line_whatever_its_name_is) {
  Story story;
  story.Refuse(std::string(100'000, 'x'), "zone", std::string(100'000, 'y'));
  cr_assert(story.log.Longest() < 600);
}

}  // namespace
}  // namespace meadowthread
