#include <criterion/criterion.h>

#include "claims/tests/claim_fixture.h"
#include "store/tests/passing_store.h"

namespace meadowthread {
namespace {

/// @brief A client that sends each write a second time by itself and gives the
/// second answer.
class ResendingStore final : public PassingStore {
 public:
  explicit ResendingStore(MemoryStore* store)
      : PassingStore(*store), store(store) {}

  void Put(std::string_view kind, std::string_view name, std::string_view value,
           std::int64_t version, const PutDone& done) override {
    this->store->Put(kind, name, value, version,
                     [](const absl::StatusOr<std::int64_t>&) {});
    this->store->Put(kind, name, value, version, done);
  }

 private:
  MemoryStore* store;
};

Test(a_claim_whose_answer_is_lost, is_settled_by_reading_back) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  fixture.store.FailWrites({WriteFault::kAnswerLost});
  const auto mine = fixture.Claim(0, key);
  fixture.Run(100);
  const auto other = fixture.Claim(1, key);
  fixture.Run(100);
  cr_assert(mine->Granted());
  cr_assert(other->Refused(ErrorId::kClaimHeld, Outcome::kUnknown));
}

Test(a_claim_whose_answer_is_lost, is_sent_again_where_the_write_was_lost) {
  ClaimFixture fixture;
  fixture.store.FailWrites(
      {WriteFault::kRequestLost, WriteFault::kRequestLost});
  const auto mine = fixture.Claim(0, fixture.Key("note"));
  fixture.Run(200);
  cr_assert(mine->Granted());
  cr_assert(fixture.store.WriteCalls() == 3);
}

Test(a_claim_whose_answer_is_lost, may_meet_its_own_earlier_copy) {
  ClaimFixture fixture;
  ResendingStore resending(&fixture.store);
  const std::string key = fixture.Key("note");
  ClaimTools tools;
  tools.store = &resending;
  tools.scheduler = &fixture.scheduler;
  tools.clock = &fixture.clock;
  tools.settings = fixture.settings;
  fixture.hosts[0] = std::make_unique<StoreClaimService>(tools);
  const auto mine = fixture.Claim(0, key);
  fixture.RunUnanswered(5);
  fixture.store.Step();  // the head is read; the write is sent twice
  fixture.store.SetDown(true);
  fixture.Run(20);
  // then: the conflict settles nothing, and neither does the outage
  cr_assert(mine->times == 0);
  fixture.store.SetDown(false);
  fixture.Run(500);
  cr_assert(mine->Granted());
}

Test(a_delayed_write, that_lands_after_the_read_back_still_holds_the_key) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  fixture.store.FailWrites({WriteFault::kDelayed});
  const auto mine = fixture.Claim(0, key);
  fixture.Run(20);  // the write is undecided and was read back
  cr_assert(mine->times == 0);
  fixture.store.ReleaseDelayed();
  const auto other = fixture.Claim(1, key);
  fixture.Run(200);
  cr_assert(mine->Granted());
  cr_assert(other->Refused(ErrorId::kClaimHeld, Outcome::kUnknown));
}

Test(a_delayed_write, loses_to_another_host_that_was_quicker) {
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
  cr_assert(mine->Refused(ErrorId::kClaimHeld, Outcome::kUnknown));
}

Test(an_unsettled_claim, is_never_sent_and_given_back_later) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  fixture.store.FailWrites(std::vector<WriteFault>(500, WriteFault::kDelayed));
  const auto mine = fixture.Claim(0, key);
  fixture.Run(2'100);
  {  // then: told at the limit, and truly
    cr_assert(mine->Refused(ErrorId::kClaimUnsettled, Outcome::kNotRun));
    cr_assert(DetailOf(mine->answer.status()).retry_after_ms > 0);
  }
  // when: it lands after all, and the object API recovers
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

Test(an_unsettled_claim, is_fenced_off_before_it_is_forgotten) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  fixture.store.FailWrites({WriteFault::kDelayed});
  // given: its request has given up while the write was under way
  const auto mine = fixture.Claim(0, key, "body", 6);
  fixture.Run(300);
  cr_assert(mine->Refused(ErrorId::kClaimUnsettled, Outcome::kNotRun));
  // when: the write lands later than anything else
  fixture.store.ReleaseDelayed();
  const auto retry = fixture.Claim(0, key);
  fixture.Run(200);
  cr_assert(retry->Granted());
}

Test(a_frozen_claimer, gets_no_grant_after_its_deadline) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  const auto mine = fixture.Claim(0, key, "body", 1'000);
  fixture.RunUnanswered(5);
  fixture.store.Step();          // the head is read; the write goes out
  fixture.clock.Advance(1'500);  // frozen, with timers behind the answer
  fixture.store.Settle();
  { cr_assert(mine->Refused(ErrorId::kDeadlinePassed, Outcome::kNotRun)); }
  fixture.Run(100);
  const auto retry = fixture.Claim(1, key);
  fixture.Run(100);
  cr_assert(retry->Granted());
}

Test(a_frozen_claimer, that_sends_late_is_still_the_only_one) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  const auto mine = fixture.Claim(0, key, "body", 1'000);
  fixture.Run(100);
  cr_assert(mine->Grant().MaySend(fixture.clock.WallMs()));
  fixture.clock.Advance(5'000);  // frozen between the check and the send
  const auto other = fixture.Claim(1, key);
  fixture.Run(100);
  cr_assert(!mine->Grant().MaySend(fixture.clock.WallMs()));
  cr_assert(other->Refused(ErrorId::kClaimHeld, Outcome::kUnknown));
}

Test(an_outage, refuses_claims_at_once_as_not_run) {
  ClaimFixture fixture;
  fixture.store.SetDown(true);
  const auto first = fixture.Claim(0, fixture.Key("note"));
  fixture.Run(5);
  cr_assert(first->Refused(ErrorId::kStoreUnavailable, Outcome::kNotRun));
  cr_assert(DetailOf(first->answer.status()).retry_after_ms > 0);
  fixture.store.SetDown(false);
  fixture.Run(100);
  const auto after = fixture.Claim(0, fixture.Key("note"));
  fixture.Run(100);
  cr_assert(after->Granted());
}

Test(an_outage, does_not_hide_what_is_known_of_a_key) {
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
  cr_assert(again->Refused(ErrorId::kClaimHeld, Outcome::kUnknown));
  cr_assert(retry->Replayed(result));
}

Test(an_outage, that_begins_with_a_write_under_way_leaves_it_unsettled) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  fixture.store.FailWrites({WriteFault::kDelayed});
  const auto mine = fixture.Claim(0, key);
  fixture.RunUnanswered(5);
  fixture.store.Step();
  fixture.store.SetDown(true);
  fixture.Run(100);
  cr_assert(mine->times == 0);
  const auto late = fixture.Claim(0, fixture.Key("other"));
  fixture.Run(1);
  cr_assert(late->Refused(ErrorId::kStoreUnavailable, Outcome::kNotRun));
  fixture.store.SetDown(false);
  fixture.store.ReleaseDelayed();
  fixture.Run(200);
  cr_assert(mine->Granted());
}

Test(a_result, is_recorded_once_though_answers_are_lost) {
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

Test(a_result, that_cannot_be_recorded_leaves_retries_unknown) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("note");
  const auto mine = fixture.Claim(0, key);
  fixture.Run(100);
  fixture.store.SetDown(true);
  fixture.hosts[0]->RecordResult(
      mine->Grant(), {200, "", "x"},
      [](const absl::Status& status) { cr_assert(!status.ok()); });
  fixture.Run(fixture.settings.record_limit_ms + 10);
  fixture.store.SetDown(false);
  const auto retry = fixture.Claim(1, key);
  fixture.Run(100);
  cr_assert(retry->Refused(ErrorId::kClaimHeld, Outcome::kUnknown));
}

}  // namespace
}  // namespace meadowthread
