#include <criterion/criterion.h>

#include "claims/tests/claim_fixture.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kHourMs = 3'600'000;

// Claims `count` keys on host 0 and returns the last key.
std::string Fill(ClaimFixture* fixture, int count, std::string_view name) {
  std::string key;
  for (int i = 0; i < count; ++i) {
    key = fixture->Key(std::string(name) + std::to_string(i));
    const auto submission = fixture->Claim(0, key);
    fixture->Run(50);
    cr_assert(submission->Granted());
  }
  return key;
}

std::shared_ptr<StoredObject> ReadClaimObject(ClaimFixture* fixture,
                                              std::string_view name) {
  auto object = std::make_shared<StoredObject>();
  fixture->store.Get("claims", name,
                     [object](const absl::StatusOr<StoredObject>& answer) {
                       *object = answer.value_or(StoredObject{});
                     });
  fixture->store.Settle();
  return object;
}

Test(group_commit, puts_all_queued_claims_into_one_write) {
  ClaimFixture fixture(1);
  std::vector<std::shared_ptr<Submission>> submissions;
  submissions.reserve(100);
  for (int i = 0; i < 100; ++i) {
    submissions.push_back(fixture.Claim(0, fixture.Key(std::to_string(i))));
  }
  fixture.Run(100);
  for (const std::shared_ptr<Submission>& submission : submissions) {
    cr_assert(submission->Granted());
  }
  cr_assert(fixture.store.WriteCalls() == 1);
  cr_assert(fixture.store.ReadCalls() == 1);
}

Test(group_commit, has_only_one_write_in_flight) {
  ClaimFixture fixture(1);
  const auto first = fixture.Claim(0, fixture.Key("a"));
  fixture.RunTimersOnly(5);
  fixture.store.Step();
  std::vector<std::shared_ptr<Submission>> submissions;
  for (int i = 0; i < 50; ++i) {
    submissions.push_back(fixture.Claim(0, fixture.Key(std::to_string(i))));
    fixture.RunTimersOnly(5);
  }
  cr_assert(fixture.store.WriteCalls() == 1);
  fixture.Run(50);
  cr_assert(fixture.store.WriteCalls() == 2);
  cr_assert(submissions.back()->Granted() && first->Granted());
}

Test(a_stale_view, cannot_append) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  Fill(&fixture, 1, "a");
  const auto warm = fixture.Claim(1, fixture.Key("b"));
  fixture.Run(50);
  // given: host 1's view is current; then host 0 claims another key
  const auto mine = fixture.Claim(0, key);
  fixture.Run(50);
  const int reads = fixture.store.ReadCalls();
  const int writes = fixture.store.WriteCalls();
  const auto other = fixture.Claim(1, key);
  fixture.Run(50);
  cr_assert(warm->Granted() && mine->Granted());
  cr_assert(other->Rejected(ErrorId::kClaimHeld, Outcome::kUnknown));
  {  // then: its write on the old version failed, and it read the new head
    cr_assert(fixture.store.WriteCalls() == writes + 1);
    cr_assert(fixture.store.ReadCalls() == reads + 1);
  }
}

Test(a_full_segment, is_sealed_archived_and_followed_by_a_new_one) {
  ClaimFixture fixture(1, SmallSegments());
  Fill(&fixture, 20, "a");
  const auto head =
      DecodeSegment(ReadClaimObject(&fixture, "0.head")->value, "head");
  cr_assert(head.ok() && head->number >= 4);
  std::size_t entries = head->entries.size();
  std::int64_t last_ms = -1;
  for (std::int64_t i = 0; i < head->number; ++i) {
    const std::string name = "0." + std::to_string(i);
    const auto segment =
        DecodeSegment(ReadClaimObject(&fixture, name)->value, name);
    cr_assert(segment.ok() && segment->sealed && segment->number == i);
    cr_assert(segment->prior_ms == last_ms);
    last_ms = segment->LastTimestampMs();
    entries += segment->entries.size();
  }
  cr_assert(entries == 20);
}

Test(a_full_segment, is_rolled_by_two_hosts_at_once_without_loss) {
  ClaimFixture fixture(2, SmallSegments());
  for (int i = 0; i < 40; ++i) {
    const std::string key = fixture.Key(std::to_string(i));
    const auto first = fixture.Claim(i % 2, key);
    const auto other = fixture.Claim(1 - i % 2, key);
    fixture.Run(300);
    cr_assert(first->Granted() != other->Granted());
  }
}

Test(a_full_segment, does_not_lose_a_claim_whose_append_was_delayed) {
  ClaimFixture fixture(2, SmallSegments());
  const std::string key = fixture.Key("late");
  fixture.store.FailWrites({WriteFault::kDelayed});
  const auto late = fixture.Claim(1, key);
  fixture.Run(10);
  Fill(&fixture, 8, "a");  // fills the head, so that a new segment follows
  fixture.store.ReleaseDelayed();
  fixture.Run(200);
  const auto other = fixture.Claim(0, key);
  fixture.Run(50);
  cr_assert(late->Granted());
  cr_assert(other->Rejected(ErrorId::kClaimHeld, Outcome::kUnknown));
}

Test(a_restarted_host, finds_a_claim_in_an_archived_segment) {
  for (const KeyForm form : {KeyForm::kTimed, KeyForm::kOpaque}) {
    ClaimFixture fixture(2, SmallSegments());
    fixture.form = form;
    const std::string key = Fill(&fixture, 1, "first");
    Fill(&fixture, 20, "a");
    fixture.hosts[1] = fixture.NewHost();
    const auto again = fixture.Claim(1, key);
    fixture.Run(50);
    cr_assert(again->Rejected(ErrorId::kClaimHeld, Outcome::kUnknown));
  }
}

Test(a_restarted_host, reads_no_segment_from_before_a_timed_keys_range) {
  ClaimFixture fixture(1, SmallSegments());
  Fill(&fixture, 20, "a");
  fixture.clock.Advance(kHourMs);
  Fill(&fixture, 4, "b");
  fixture.hosts[0] = fixture.NewHost();
  const int reads = fixture.store.ReadCalls();
  Fill(&fixture, 1, "c");
  cr_assert(fixture.store.ReadCalls() - reads <= 3);
}

Test(an_index_over_its_bound, rereads_evicted_segments_when_needed) {
  ClaimSettings settings = SmallSegments();
  settings.max_index_entries = 10;
  ClaimFixture fixture(1, settings);
  const std::string key = Fill(&fixture, 1, "first");
  Fill(&fixture, 40, "a");
  const auto again = fixture.Claim(0, key);
  fixture.Run(50);
  cr_assert(again->Rejected(ErrorId::kClaimHeld, Outcome::kUnknown));
}

Test(retention, drops_old_segments_and_their_results) {
  ClaimSettings settings = SmallSegments();
  settings.inline_result_bytes = 0;
  ClaimFixture fixture(1, settings);
  const auto first = fixture.Claim(0, fixture.Key("first"));
  fixture.Run(50);
  cr_assert(fixture.Record(0, first->Grant(), {200, "", "x"}).ok());
  Fill(&fixture, 10, "a");
  const std::string result = EncodeNonce(first->Grant().nonce);
  cr_assert(!ReadClaimObject(&fixture, "0.0")->value.empty());
  fixture.clock.Advance(25 * kHourMs);
  Fill(&fixture, 10, "b");
  cr_assert(ReadClaimObject(&fixture, "0.0")->value.empty());
  const auto head =
      DecodeSegment(ReadClaimObject(&fixture, "0.head")->value, "head");
  cr_assert(head->oldest > 0 && head->dropped_ms >= kStartMs);
  fixture.store.Get("results", result,
                    [](const absl::StatusOr<StoredObject>& answer) {
                      cr_assert(!answer.ok());
                    });
  fixture.store.Settle();
}

Test(retention, never_frees_a_timed_key_even_if_a_clock_is_wrong) {
  ClaimFixture fixture(1, SmallSegments());
  const std::string key = Fill(&fixture, 1, "first");
  Fill(&fixture, 10, "a");
  // given: a host whose clock is 25 h ahead drops entries that are minutes old
  ManualClock fast(kStartMs + 25 * kHourMs);
  ClaimDependencies dependencies;
  dependencies.store = &fixture.store;
  dependencies.scheduler = &fixture.scheduler;
  dependencies.clock = &fast;
  dependencies.settings = fixture.settings;
  StoreClaimService ahead(dependencies);
  for (int i = 0; i < 10; ++i) {
    ClaimRequest request;
    request.key = std::to_string(fast.WallMs() / 1000) + "-" + char('a' + i);
    request.deadline_unix_ms = fast.WallMs() + 10'000;
    ahead.Claim(request, [](const absl::StatusOr<ClaimAnswer>& answer) {
      cr_assert(answer.ok());
    });
    fixture.Run(50);
    fast.Advance(50);
    fixture.Run(50);
  }
  cr_assert(ReadClaimObject(&fixture, "0.0")->value.empty());
  fixture.hosts[0] = fixture.NewHost();
  const auto again = fixture.Claim(0, key);
  fixture.Run(50);
  cr_assert(
      again->Rejected(ErrorId::kIdempotencyKeyExpired, Outcome::kUnknown));
}

// Claims `key` on a host with its own clock, which is moved by `step_ms`
// between the claim and the write.
bool ClaimOn(ClaimFixture* fixture, ManualClock* clock, std::string_view key,
             std::int64_t step_ms) {
  ClaimDependencies dependencies;
  dependencies.store = &fixture->store;
  dependencies.scheduler = &fixture->scheduler;
  dependencies.clock = clock;
  dependencies.settings = fixture->settings;
  StoreClaimService service(dependencies);
  ClaimRequest request;
  request.workspace = "lukot";
  request.key = std::string(key);
  request.body_digest = Sha256Of("body");
  request.deadline_unix_ms = clock->WallMs() + 10'000;
  bool granted = false;
  service.Claim(request, [&granted](const absl::StatusOr<ClaimAnswer>& answer) {
    granted = answer.ok();
  });
  clock->Advance(step_ms);
  fixture->Run(50);
  return granted;
}

ClaimSettings OneEntrySegments() {
  ClaimSettings settings;
  settings.segment_bytes = 1;
  return settings;
}

Test(a_claim, has_no_timestamp_before_its_keys_search_range) {
  ClaimFixture fixture(1, OneEntrySegments());
  ManualClock stepped(kStartMs);
  const std::string key = fixture.Key("note");
  cr_assert(ClaimOn(&fixture, &stepped, key, -kHourMs));
  Fill(&fixture, 5, "a");
  fixture.hosts[0] = fixture.NewHost();
  const auto again = fixture.Claim(0, key);
  fixture.Run(50);
  cr_assert(again->Rejected(ErrorId::kClaimHeld, Outcome::kUnknown));
}

Test(a_claim, is_found_even_if_a_later_entry_came_from_a_slow_clock) {
  ClaimFixture fixture(1, OneEntrySegments());
  const std::string key = Fill(&fixture, 1, "first");
  ManualClock slow(kStartMs - kHourMs);
  const std::string slow_key = std::to_string(slow.WallMs() / 1000) + "-s";
  cr_assert(ClaimOn(&fixture, &slow, slow_key, 0));
  cr_assert(ClaimOn(&fixture, &slow, slow_key + "t", 0));
  fixture.hosts[0] = fixture.NewHost();
  const auto again = fixture.Claim(0, key);
  fixture.Run(50);
  cr_assert(again->Rejected(ErrorId::kClaimHeld, Outcome::kUnknown));
}

Test(retention, deletes_no_segment_that_the_head_still_lists) {
  for (int steps = 0; steps < 10; ++steps) {
    ClaimFixture fixture(1, SmallSegments());
    Fill(&fixture, 12, "a");
    ManualClock ahead(kStartMs + 25 * kHourMs);
    ClaimDependencies dependencies;
    dependencies.store = &fixture.store;
    dependencies.scheduler = &fixture.scheduler;
    dependencies.clock = &ahead;
    dependencies.settings = fixture.settings;
    StoreClaimService dropper(dependencies);
    ClaimRequest request;
    request.key = std::to_string(ahead.WallMs() / 1000) + "-b";
    request.deadline_unix_ms = ahead.WallMs() + 10'000;
    // when: a host that would drop segments loses to one that would not
    dropper.Claim(request, [](const absl::StatusOr<ClaimAnswer>&) {});
    fixture.RunTimersOnly(5);
    for (int i = 0; i < steps; ++i) {
      fixture.store.Step();
    }
    fixture.Claim(0, fixture.Key("c"));
    fixture.RunTimersOnly(5);
    for (int i = 0; i < 10; ++i) {
      fixture.Run(50);
      ahead.Advance(50);
    }
    const auto head =
        DecodeSegment(ReadClaimObject(&fixture, "0.head")->value, "head");
    for (std::int64_t i = head->oldest; i < head->number; ++i) {
      cr_assert(
          !ReadClaimObject(&fixture, "0." + std::to_string(i))->value.empty());
    }
  }
}

Test(a_lost_head, makes_hosts_that_had_read_it_reject_claims) {
  ClaimFixture fixture(1);
  const std::string key = Fill(&fixture, 1, "a");
  const std::int64_t version = ReadClaimObject(&fixture, "0.head")->version;
  fixture.store.Delete("claims", "0.head", version,
                       [](const absl::StatusOr<std::int64_t>&) {});
  fixture.Run(50);
  const auto other = fixture.Claim(0, fixture.Key("b"));
  fixture.Run(2'500);
  {  // then: no new log is started, as it would free the keys of the old one
    cr_assert(other->Rejected(ErrorId::kClaimUnsettled, Outcome::kNotRun));
    cr_assert(ReadClaimObject(&fixture, "0.head")->value.empty());
  }
}

Test(writes, of_a_shard_are_at_least_the_write_interval_apart) {
  ClaimFixture fixture(1);
  for (int i = 0; i < 200; ++i) {
    fixture.Claim(0, fixture.Key(std::to_string(i)));
    fixture.Run(1);
  }
  cr_assert(fixture.store.WriteCalls() <=
            1 + 200 / fixture.settings.write_interval_ms);
}

Test(a_malformed_log, rejects_claims_and_is_not_overwritten) {
  for (const std::string_view text :
       {"", "[]", "{\"entries\":[7],\"sealed\":false}",
        "{\"segment\":-1,\"sealed\":false,\"entries\":[]}",
        "{\"segment\":0,\"oldest\":9,\"sealed\":true,\"entries\":[]}"}) {
    ClaimFixture fixture(1);
    fixture.store.Put("claims", "0.head", text, 0,
                      [](const absl::StatusOr<std::int64_t>&) {});
    const auto submission = fixture.Claim(0, fixture.Key("note"));
    fixture.Run(50);
    cr_assert(submission->Rejected(ErrorId::kStoreMalformed, Outcome::kNotRun));
    cr_assert(fixture.store.WriteCalls() == 1);
  }
}

}  // namespace
}  // namespace meadowthread
