// How much a host keeps, and of whom.
#include "quarantine/crash_book.h"

#include <criterion/criterion.h>

#include <string>

#include "absl/strings/str_format.h"
#include "quarantine/crash_messages.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kNow = 1'790'000'000'000;

CrashRecord RecordOf(const std::string& workspace, int n, int ends) {
  CrashRecord record;
  record.id = {workspace, absl::StrFormat("%032x", n)};
  record.route = "report";
  record.request = "r";
  for (int i = 0; i < ends; ++i) {
    record.ends.push_back({absl::StrFormat("s-%d-%d", n, i), true, kNow + i});
  }
  return record;
}

bool IsQuarantined(const CrashBook& book, const CrashRecordId& id) {
  const CrashRecord* const record = book.Find(id);
  return record != nullptr && Judge(*record, kNow + 10).in_quarantine;
}

Test(a_workspace_with_thousands_of_such_contents, takes_no_room_of_others) {
  CrashBook book({4, 10});
  const CrashRecord other = RecordOf("pasig", 1, 3);
  book.Take(other, kNow + 10);
  for (int n = 0; n < 2'000; ++n) {
    book.Take(RecordOf("makati", n, 3), kNow + 10);
  }
  cr_assert(book.Size() == 5, "%zu", book.Size());
  cr_assert(IsQuarantined(book, other.id));
  for (int n = 0; n < 40; ++n) {
    book.Take(RecordOf("w-" + std::to_string(n), 1, 1), kNow + 10);
  }
  cr_assert(book.Size() <= 10, "%zu", book.Size());
}

Test(a_book_without_room, gives_up_suspects_before_what_is_in_quarantine) {
  CrashBook book({3, 100});
  const CrashRecord guilty = RecordOf("makati", 1, 3);
  book.Take(guilty, kNow + 10);
  for (int n = 2; n < 50; ++n) {
    book.Take(RecordOf("makati", n, 1), kNow + 10);
  }
  cr_assert(IsQuarantined(book, guilty.id));
}

Test(a_book, tells_what_is_new_once) {
  CrashBook book;
  int told = 0;
  book.AddListener([&told](const CrashRecord&) { ++told; });
  cr_assert(book.Take(RecordOf("makati", 1, 2), kNow + 10));
  cr_assert_not(book.Take(RecordOf("makati", 1, 1), kNow + 10));
  cr_assert(book.Take(RecordOf("makati", 1, 3), kNow + 10));
  cr_assert(told == 2);
}

Test(a_book, looks_for_contents_only_where_one_is_suspected) {
  CrashBook book;
  book.Take(RecordOf("makati", 1, 1), kNow + 10);
  cr_assert(book.HasSuspects("makati"));
  cr_assert_not(book.HasSuspects("pasig"));
  CrashRecord cleared = RecordOf("makati", 1, 0);
  cleared.cleared_ms = kNow + 5;
  book.Take(cleared, kNow + 10);
  cr_assert_not(book.HasSuspects("makati"));
}

// A host that has not heard of it yet tells the old ends again.
Test(a_cleared_content, stays_cleared_when_old_ends_are_told_again) {
  CrashBook book;
  book.Take(RecordOf("makati", 1, 3), kNow + 10);
  CrashRecord cleared = RecordOf("makati", 1, 0);
  cleared.cleared_ms = kNow + 5;
  book.Take(cleared, kNow + 10);
  book.Forget(kNow + 60'000);
  cr_assert_not(book.Take(RecordOf("makati", 1, 3), kNow + 60'000));
  cr_assert_not(IsQuarantined(book, cleared.id));
}

Test(a_book, forgets_what_nothing_depends_on) {
  CrashBook book;
  book.Take(RecordOf("makati", 1, 1), kNow + 10);
  book.Forget(kNow + 1'000);
  cr_assert(book.Size() == 1);
  book.Forget(kNow + 700'000);
  cr_assert(book.Size() == 0);
  cr_assert_not(book.Take(RecordOf("makati", 1, 1), kNow + 700'000));
  cr_assert(book.Size() == 0, "what is told late is not kept either");
}

Test(books, have_one_digest_where_they_know_the_same) {
  CrashBook one;
  CrashBook other;
  one.Take(RecordOf("makati", 1, 2), kNow + 10);
  cr_assert(one.Digest() != other.Digest());
  other.Take(RecordOf("makati", 1, 1), kNow + 10);
  cr_assert(one.Digest() != other.Digest());
  other.Take(RecordOf("makati", 1, 2), kNow + 10);
  cr_assert(one.Digest() == other.Digest());
}

Test(a_record, travels_whole) {
  CrashRecord record = RecordOf("makati", 7, 3);
  record.cleared_ms = 5;
  record.kept_ms = 6;
  record.ends[1].before_any_answer = false;
  const absl::StatusOr<CrashRecord> read =
      CrashRecordFrom(CrashRecordJson(record));
  cr_assert(read.ok());
  cr_assert(*read == record);
}

Test(what_is_no_record, is_refused) {
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
