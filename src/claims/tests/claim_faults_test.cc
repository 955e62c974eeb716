#include <criterion/criterion.h>

#include "claims/tests/claim_fixture.h"
#include "store/tests/forwarding_store.h"

namespace meadowthread {
namespace {

/// @brief A store client that sends each write twice and returns the reply to
/// the second one.
class ResendingStore final : public ForwardingStore {
 public:
  explicit ResendingStore(MemoryStore* store)
      : ForwardingStore(*store), store(store) {}

  void Put(std::string_view kind, std::string_view name, std::string_view value,
           std::int64_t version, const PutDone& done) override {
    this->store->Put(kind, name, value, version,
                     [](const absl::StatusOr<std::int64_t>&) {});
    this->store->Put(kind, name, value, version, done);
  }

 private:
  MemoryStore* store;
};

Test(a_claim_with_a_lost_store_reply, is_resolved_by_reading_the_head) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  fixture.store.FailWrites({WriteFault::kAnswerLost});
  const auto mine = fixture.Claim(0, key);
  fixture.Run(100);
  const auto other = fixture.Claim(1, key);
  fixture.Run(100);
  cr_assert(mine->Granted());
  cr_assert(other->Rejected(ErrorId::kClaimHeld, Outcome::kUnknown));
}

Test(a_claim_with_a_lost_store_reply, is_written_again_if_the_write_was_lost) {
  ClaimFixture fixture;
  fixture.store.FailWrites(
      {WriteFault::kRequestLost, WriteFault::kRequestLost});
  const auto mine = fixture.Claim(0, fixture.Key("note"));
  fixture.Run(200);
  cr_assert(mine->Granted());
  cr_assert(fixture.store.WriteCalls() == 3);
}

Test(a_claim_with_a_lost_store_reply, may_conflict_with_its_own_earlier_copy) {
  ClaimFixture fixture;
  ResendingStore resending(&fixture.store);
  const std::string key = fixture.Key("note");
  ClaimDependencies dependencies;
  dependencies.store = &resending;
  dependencies.scheduler = &fixture.scheduler;
  dependencies.clock = &fixture.clock;
  dependencies.settings = fixture.settings;
  fixture.hosts[0] = std::make_unique<StoreClaimService>(dependencies);
  const auto mine = fixture.Claim(0, key);
  fixture.RunTimersOnly(5);
  fixture.store.Step();  // the head is read; the write is sent twice
  fixture.store.SetDown(true);
  fixture.Run(20);
  // then: neither the conflict nor the outage resolves the claim
  cr_assert(mine->times == 0);
  fixture.store.SetDown(false);
  fixture.Run(500);
  cr_assert(mine->Granted());
}

Test(a_delayed_write, applied_after_the_head_was_reread_still_holds_the_key) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  fixture.store.FailWrites({WriteFault::kDelayed});
  const auto mine = fixture.Claim(0, key);
  fixture.Run(20);  // the write is unresolved, and the head was read again
  cr_assert(mine->times == 0);
  fixture.store.ReleaseDelayed();
  const auto other = fixture.Claim(1, key);
  fixture.Run(200);
  cr_assert(mine->Granted());
  cr_assert(other->Rejected(ErrorId::kClaimHeld, Outcome::kUnknown));
}

Test(a_delayed_write, loses_to_an_earlier_write_of_another_host) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  fixture.store.FailWrites({WriteFault::kDelayed});
  const auto mine = fixture.Claim(0, key);
  fixture.Run(10);
  const auto other = fixture.Claim(1, key);
  fixture.Run(20);
  fixture.store.ReleaseDelayed();
  fixture.Run(200);
  cr_assert(other->Granted());
  cr_assert(mine->Rejected(ErrorId::kClaimHeld, Outcome::kUnknown));
}

Test(an_unresolved_claim, is_never_sent_and_is_released_later) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  fixture.store.FailWrites(std::vector<WriteFault>(500, WriteFault::kDelayed));
  const auto mine = fixture.Claim(0, key);
  fixture.Run(2'100);
  {  // then: at the timeout the caller learns that the request was not run
    cr_assert(mine->Rejected(ErrorId::kClaimUnsettled, Outcome::kNotRun));
    cr_assert(DetailOf(mine->answer.status()).retry_after_ms > 0);
  }
  // when: the writes are applied after all, and the object API recovers
  fixture.store.ReleaseDelayed();
  fixture.store.FailWrites({});
  while (fixture.store.WriteCalls() < 501) {
    fixture.Run(100);
  }
  fixture.Run(200);
  const auto retry = fixture.Claim(1, key);
  fixture.Run(200);
  cr_assert(retry->Granted());
  cr_assert(mine->times == 1);
}

Test(an_unresolved_claim, is_fenced_before_it_leaves_the_queue) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  fixture.store.FailWrites({WriteFault::kDelayed});
  // given: the claim timed out while its write was in progress
  const auto mine = fixture.Claim(0, key, "body", 6);
  fixture.Run(300);
  cr_assert(mine->Rejected(ErrorId::kClaimUnsettled, Outcome::kNotRun));
  // when: the write arrives at the store after all other writes
  fixture.store.ReleaseDelayed();
  const auto retry = fixture.Claim(0, key);
  fixture.Run(200);
  cr_assert(retry->Granted());
}

Test(a_paused_host, gets_no_grant_after_the_deadline) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  const auto mine = fixture.Claim(0, key, "body", 1'000);
  fixture.RunTimersOnly(5);
  fixture.store.Step();  // the head is read; the write goes out
  // The host is paused, and handles the reply before its timers.
  fixture.clock.Advance(1'500);
  fixture.store.Settle();
  { cr_assert(mine->Rejected(ErrorId::kDeadlinePassed, Outcome::kNotRun)); }
  fixture.Run(100);
  const auto retry = fixture.Claim(1, key);
  fixture.Run(100);
  cr_assert(retry->Granted());
}

Test(a_paused_host, still_holds_the_key_but_may_not_send_after_the_deadline) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  const auto mine = fixture.Claim(0, key, "body", 1'000);
  fixture.Run(100);
  cr_assert(mine->Grant().MaySend(fixture.clock.WallMs()));
  fixture.clock.Advance(5'000);  // paused between the check and the send
  const auto other = fixture.Claim(1, key);
  fixture.Run(100);
  cr_assert(!mine->Grant().MaySend(fixture.clock.WallMs()));
  cr_assert(other->Rejected(ErrorId::kClaimHeld, Outcome::kUnknown));
}

Test(an_outage, rejects_claims_immediately_as_not_run) {
  ClaimFixture fixture;
  fixture.store.SetDown(true);
  const auto first = fixture.Claim(0, fixture.Key("note"));
  fixture.Run(5);
  cr_assert(first->Rejected(ErrorId::kStoreUnavailable, Outcome::kNotRun));
  cr_assert(DetailOf(first->answer.status()).retry_after_ms > 0);
  fixture.store.SetDown(false);
  fixture.Run(100);
  const auto after = fixture.Claim(0, fixture.Key("note"));
  fixture.Run(100);
  cr_assert(after->Granted());
}

Test(an_outage, does_not_hide_the_last_known_state_of_a_key) {
  ClaimFixture fixture;
  const ClaimResult result = {200, "text/plain", "sent"};
  const std::string held = fixture.Key("held");
  const std::string done = fixture.Key("done");
  fixture.Claim(0, held);
  const auto finished = fixture.Claim(0, done);
  fixture.Run(100);
  cr_assert(fixture.Record(0, finished->Grant(), result).ok());
  fixture.store.SetDown(true);
  const auto again = fixture.Claim(0, held);
  const auto retry = fixture.Claim(0, done);
  fixture.Run(100);
  cr_assert(again->Rejected(ErrorId::kClaimHeld, Outcome::kUnknown));
  cr_assert(retry->Replayed(result));
}

Test(an_outage, that_begins_during_a_write_leaves_the_claim_unresolved) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  fixture.store.FailWrites({WriteFault::kDelayed});
  const auto mine = fixture.Claim(0, key);
  fixture.RunTimersOnly(5);
  fixture.store.Step();
  fixture.store.SetDown(true);
  fixture.Run(100);
  cr_assert(mine->times == 0);
  const auto late = fixture.Claim(0, fixture.Key("other"));
  fixture.Run(1);
  cr_assert(late->Rejected(ErrorId::kStoreUnavailable, Outcome::kNotRun));
  fixture.store.SetDown(false);
  fixture.store.ReleaseDelayed();
  fixture.Run(200);
  cr_assert(mine->Granted());
}

Test(a_result, is_recorded_despite_lost_requests_and_replies) {
  ClaimFixture fixture;
  const ClaimResult result = {200, "text/plain", std::string(4'000, 'x')};
  const std::string key = fixture.Key("note");
  const auto mine = fixture.Claim(0, key);
  fixture.Run(100);
  fixture.store.FailWrites({WriteFault::kAnswerLost, WriteFault::kRequestLost,
                            WriteFault::kAnswerLost});
  cr_assert(fixture.Record(0, mine->Grant(), result).ok());
  const auto retry = fixture.Claim(1, key);
  fixture.Run(100);
  cr_assert(retry->Replayed(result));
}

Test(a_result, that_cannot_be_recorded_makes_retries_report_unknown) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  const auto mine = fixture.Claim(0, key);
  fixture.Run(100);
  fixture.store.SetDown(true);
  fixture.hosts[0]->RecordResult(
      mine->Grant(), {200, "", "x"},
      [](const absl::Status& status) { cr_assert(!status.ok()); });
  fixture.Run(fixture.settings.record_timeout_ms + 10);
  fixture.store.SetDown(false);
  const auto retry = fixture.Claim(1, key);
  fixture.Run(100);
  cr_assert(retry->Rejected(ErrorId::kClaimHeld, Outcome::kUnknown));
}

}  // namespace
}  // namespace meadowthread
