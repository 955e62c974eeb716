// Bounds, merging, expiration and encoding of crash records.
#include "quarantine/crash_record_table.h"

#include <criterion/criterion.h>

#include <string>

#include "absl/strings/str_format.h"
#include "quarantine/crash_messages.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kNow = 1'790'000'000'000;

CrashRecord RecordOf(const std::string& workspace, int n, int crashes) {
  CrashRecord record;
  record.id = {workspace, absl::StrFormat("%032x", n)};
  record.route = "report";
  record.request = "r";
  for (int i = 0; i < crashes; ++i) {
    record.crashes.push_back(
        {absl::StrFormat("s-%d-%d", n, i), true, kNow + i});
  }
  return record;
}

bool IsQuarantined(const CrashRecordTable& table, const CrashRecordId& id) {
  const CrashRecord* const record = table.Find(id);
  return record != nullptr && Judge(*record, kNow + 10).in_quarantine;
}

Test(a_workspace_with_thousands_of_records, evicts_none_of_other_workspaces) {
  CrashRecordTable table({4, 10});
  const CrashRecord other = RecordOf("pasig", 1, 3);
  table.Apply(other, kNow + 10);
  for (int n = 0; n < 2'000; ++n) {
    table.Apply(RecordOf("makati", n, 3), kNow + 10);
  }
  cr_assert(table.Size() == 5, "%zu", table.Size());
  cr_assert(IsQuarantined(table, other.id));
  for (int n = 0; n < 40; ++n) {
    table.Apply(RecordOf("w-" + std::to_string(n), 1, 1), kNow + 10);
  }
  cr_assert(table.Size() <= 10, "%zu", table.Size());
}

Test(a_full_workspace, evicts_suspects_before_quarantined_contents) {
  CrashRecordTable table({3, 100});
  const CrashRecord quarantined = RecordOf("makati", 1, 3);
  table.Apply(quarantined, kNow + 10);
  for (int n = 2; n < 50; ++n) {
    table.Apply(RecordOf("makati", n, 1), kNow + 10);
  }
  cr_assert(IsQuarantined(table, quarantined.id));
}

Test(a_listener, is_called_for_new_information_only) {
  CrashRecordTable table;
  int calls = 0;
  table.AddListener([&calls](const CrashRecord&) { ++calls; });
  cr_assert(table.Apply(RecordOf("makati", 1, 2), kNow + 10));
  cr_assert_not(table.Apply(RecordOf("makati", 1, 1), kNow + 10));
  cr_assert(table.Apply(RecordOf("makati", 1, 3), kNow + 10));
  cr_assert(calls == 2);
}

Test(a_workspace, has_suspects_until_they_are_cleared) {
  CrashRecordTable table;
  table.Apply(RecordOf("makati", 1, 1), kNow + 10);
  cr_assert(table.HasSuspects("makati"));
  cr_assert_not(table.HasSuspects("pasig"));
  CrashRecord cleared = RecordOf("makati", 1, 0);
  cleared.cleared_ms = kNow + 5;
  table.Apply(cleared, kNow + 10);
  cr_assert_not(table.HasSuspects("makati"));
}

// A host that does not know yet that the content was cleared may send the old
// crashes again.
Test(a_cleared_content, stays_cleared_when_old_crashes_are_received_again) {
  CrashRecordTable table;
  table.Apply(RecordOf("makati", 1, 3), kNow + 10);
  CrashRecord cleared = RecordOf("makati", 1, 0);
  cleared.cleared_ms = kNow + 5;
  table.Apply(cleared, kNow + 10);
  table.DropExpired(kNow + 60'000);
  cr_assert_not(table.Apply(RecordOf("makati", 1, 3), kNow + 60'000));
  cr_assert_not(IsQuarantined(table, cleared.id));
}

Test(an_expired_record, is_dropped_and_not_accepted_again) {
  CrashRecordTable table;
  table.Apply(RecordOf("makati", 1, 1), kNow + 10);
  table.DropExpired(kNow + 1'000);
  cr_assert(table.Size() == 1);
  table.DropExpired(kNow + 700'000);
  cr_assert(table.Size() == 0);
  cr_assert_not(table.Apply(RecordOf("makati", 1, 1), kNow + 700'000));
  cr_assert(table.Size() == 0, "a late record is not kept either");
}

Test(digests, are_equal_if_the_records_are) {
  CrashRecordTable one;
  CrashRecordTable other;
  one.Apply(RecordOf("makati", 1, 2), kNow + 10);
  cr_assert(one.Digest() != other.Digest());
  other.Apply(RecordOf("makati", 1, 1), kNow + 10);
  cr_assert(one.Digest() != other.Digest());
  other.Apply(RecordOf("makati", 1, 2), kNow + 10);
  cr_assert(one.Digest() == other.Digest());
}

Test(a_record, survives_a_round_trip) {
  CrashRecord record = RecordOf("makati", 7, 3);
  record.cleared_ms = 5;
  record.kept_ms = 6;
  record.crashes[1].before_any_answer = false;
  const absl::StatusOr<CrashRecord> read =
      CrashRecordFrom(CrashRecordJson(record));
  cr_assert(read.ok());
  cr_assert(*read == record);
}

Test(a_malformed_record, is_rejected) {
  using nlohmann::json;
  const json good = CrashRecordJson(RecordOf("makati", 7, 2));
  for (const char* const field : {"workspace", "content", "route", "request",
                                  "ends", "cleared_unix_ms", "kept_unix_ms"}) {
    json without = good;
    without.erase(field);
    cr_assert_not(CrashRecordFrom(without).ok(), "%s", field);
    json wrong = good;
    wrong[field] = json::object();
    cr_assert_not(CrashRecordFrom(wrong).ok(), "%s", field);
  }
  json wrong = good;
  wrong["content"] = "short";
  cr_assert_not(CrashRecordFrom(wrong).ok());
  wrong = good;
  wrong["cleared_unix_ms"] = -1;
  cr_assert_not(CrashRecordFrom(wrong).ok());
  wrong = good;
  wrong["ends"] = json(std::vector<int>(1'000, 1));
  cr_assert_not(CrashRecordFrom(wrong).ok());
  cr_assert_not(CrashRecordFrom(json("x")).ok());
  wrong = good;
  wrong["workspace"] = std::string(5'000, 'w');
  cr_assert_not(CrashRecordFrom(wrong).ok());
}

}  // namespace
}  // namespace meadowthread
