// Which requests are refused because of the parts of their prompts.
#include "quarantine/suspect_parts.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kNow = 1'790'000'000'000;
constexpr std::int64_t kSecondMs = 1'000;

/// @brief Crashes and good runs, one event a second.
struct Events {
  /// @brief A server crashes under runs of a workspace with these parts.
  void Crash(const std::vector<std::string>& parts,
             const std::string& workspace = "makati") {
    this->now_ms += kSecondMs;
    ++this->servers;
    for (const std::string& part : parts) {
      this->Add(part, workspace, this->now_ms);
    }
  }
  void Add(const std::string& part, const std::string& workspace,
           std::int64_t at_ms) {
    CrashRecord record;
    record.id = {workspace, part};
    record.part = part;
    record.crashes = {{absl::StrCat("s-", this->servers), true, at_ms,
                       this->known_good.LastBegunMs(part) > 0}};
    this->records.push_back(record);
  }
  void RunSoundly(const std::string& part) {
    this->now_ms += kSecondMs;
    this->known_good.Note(part, this->now_ms);
  }
  bool Refuses(const std::vector<std::string>& parts,
               const std::string& workspace = "makati") {
    std::vector<const CrashRecord*> known;
    for (const CrashRecord& record : this->records) {
      known.push_back(&record);
    }
    SuspectParts suspects;
    suspects.Set(known, this->known_good);
    return suspects.QuarantinedUntilMs({workspace, parts}, this->now_ms)
        .has_value();
  }

  std::vector<CrashRecord> records;
  KnownGoodParts known_good{16};
  std::int64_t now_ms = kNow;
  int servers = 0;
};

Test(a_part, is_refused_after_three_crashes_and_a_sound_run_clears_it) {
  Events events;
  events.Crash({"a"});
  events.Crash({"a"});
  cr_assert(!events.Refuses({"a"}));
  events.Crash({"a"});
  cr_assert(events.Refuses({"b", "a"}) && !events.Refuses({"b"}));
  events.RunSoundly("a");
  cr_assert(!events.Refuses({"a"}));
}

// Many runs with a popular part are lost when several servers end at once.
Test(a_part, is_not_refused_for_servers_that_crash_at_the_same_time) {
  Events events;
  for (std::int64_t n = 0; n < 12; ++n) {
    ++events.servers;
    events.Add("a", "makati", kNow + n * 20);
  }
  cr_assert(!events.Refuses({"a"}));
}

Test(a_part_that_has_run_soundly_before, takes_six_crashes) {
  Events events;
  events.RunSoundly("a");
  for (int n = 0; n < 5; ++n) {
    events.Crash({"a"});
    cr_assert(!events.Refuses({"a"}), "%d", n);
  }
  events.Crash({"a"});
  cr_assert(events.Refuses({"a"}));
}

// The part that comes with the crashing one is tried without it: otherwise
// nothing could show that it is sound.
Test(a_part_beside_the_crashing_one, is_refused_only_together_with_it) {
  Events events;
  for (int n = 0; n < 4; ++n) {
    events.Crash({"first", "crashing"});
  }
  cr_assert(events.Refuses({"first", "crashing"}));
  cr_assert(!events.Refuses({"first", "other"}));
  events.Crash({"first"});
  cr_assert(!events.Refuses({"first"}), "one crash may be a coincidence");
  events.Crash({"first"});
  cr_assert(events.Refuses({"first"}), "it crashes servers alone");
  cr_assert(!events.Refuses({"crashing"}), "the first one accounts for it now");
}

Test(a_part_beside_the_crashing_one, does_not_excuse_it_once_it_is_sound) {
  Events events;
  for (int n = 0; n < 3; ++n) {
    events.Crash({"first", "crashing"});
  }
  cr_assert(!events.Refuses({"crashing"}), "the first one may be the cause");
  events.RunSoundly("first");
  cr_assert(events.Refuses({"crashing"}));
  cr_assert(!events.Refuses({"first"}));
}

// By naming another one's part in crashing requests a workspace could have that
// one's requests refused.
Test(a_workspace, has_requests_refused_for_crashes_of_others_only_of_several) {
  Events events;
  for (int n = 0; n < 5; ++n) {
    events.Crash({"a"}, "makati");
  }
  cr_assert(events.Refuses({"a"}, "makati"));
  cr_assert(!events.Refuses({"a"}, "pasig"));
  events.Crash({"a"}, "quezon");
  cr_assert(events.Refuses({"a"}, "quezon") && events.Refuses({"a"}, "pasig"));
}

Test(an_operator, keeps_and_lifts_a_part_for_all_workspaces) {
  Events events;
  events.Crash({"a"});
  events.records.back().kept_ms = events.now_ms;
  cr_assert(events.Refuses({"a"}, "makati") && events.Refuses({"a"}, "pasig"));
  events.RunSoundly("a");
  cr_assert(events.Refuses({"a"}), "a run in progress does not end it");
  events.records.back().cleared_ms = events.now_ms + 1;
  cr_assert(!events.Refuses({"a"}));
}

Test(known_good_parts, forgets_the_ones_that_were_unused_for_longest) {
  KnownGoodParts known_good(2);
  known_good.Note("a", 1);
  known_good.Note("b", 2);
  known_good.Note("a", 1);
  known_good.Note("c", 3);
  cr_assert(known_good.Size() == 2 && known_good.LastBegunMs("b") == 0);
  cr_assert(known_good.LastBegunMs("a") == 1 &&
            known_good.LastBegunMs("c") == 3);
}

}  // namespace
}  // namespace meadowthread
