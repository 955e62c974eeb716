#include <criterion/criterion.h>

#include "claims/tests/claim_fixture.h"

namespace meadowthread {
namespace {

ClaimResult Confirmed() { return {201, "text/plain", "pickup confirmed"}; }

Test(a_claim, is_granted_once_across_two_hosts) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("pickup");
  const auto first = fixture.Claim(0, key);
  const auto second = fixture.Claim(1, key);
  fixture.Run(100);
  {  // then: one holds the key, and the other's outcome is not 'not run'
    cr_assert(first->Granted() != second->Granted());
    const Submission& other = first->Granted() ? *second : *first;
    cr_assert(other.Rejected(ErrorId::kClaimHeld, Outcome::kUnknown));
  }
}

Test(a_claim, is_granted_once_on_one_host) {
  ClaimFixture fixture(1);
  const std::string key = fixture.Key("pickup");
  const auto first = fixture.Claim(0, key);
  const auto second = fixture.Claim(0, key);
  fixture.Run(100);
  cr_assert(first->Granted());
  cr_assert(second->Rejected(ErrorId::kClaimHeld, Outcome::kUnknown));
}

Test(a_claim, of_another_workspace_has_another_key_hash) {
  cr_assert(KeyHash("ab", "c") != KeyHash("a", "bc"));
}

Test(a_claim, gives_a_retry_the_recorded_result_on_any_host) {
  for (const std::size_t size : {std::size_t{10}, std::size_t{5000}}) {
    ClaimFixture fixture;
    const ClaimResult result = {200, "text/plain", std::string(size, '\xff')};
    const std::string key = fixture.Key("pickup");
    const auto first = fixture.Claim(0, key);
    fixture.Run(100);
    cr_assert(fixture.Record(0, first->Grant(), result).ok());
    for (const int host : {0, 1}) {
      const auto retry = fixture.Claim(host, key);
      fixture.Run(100);
      cr_assert(retry->Replayed(result));
    }
  }
}

Test(a_claim, rejects_the_same_key_with_another_body) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("pickup");
  const auto first = fixture.Claim(0, key, "one towel");
  fixture.Run(100);
  const auto held = fixture.Claim(1, key, "two towels");
  fixture.Run(100);
  cr_assert(held->Rejected(ErrorId::kIdempotencyKeyReused, Outcome::kNotRun));
  cr_assert(fixture.Record(0, first->Grant(), Confirmed()).ok());
  const auto done = fixture.Claim(1, key, "two towels");
  fixture.Run(100);
  cr_assert(done->Rejected(ErrorId::kIdempotencyKeyReused, Outcome::kNotRun));
}

Test(a_claim, can_be_made_again_after_a_release) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("pickup");
  const auto first = fixture.Claim(0, key);
  fixture.Run(100);
  cr_assert(fixture.Release(0, first->Grant()).ok());
  const auto second = fixture.Claim(1, key);
  fixture.Run(100);
  cr_assert(second->Granted());
}

Test(a_claim, is_decided_on_a_view_read_after_it_arrived) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("pickup");
  const auto first = fixture.Claim(0, key);
  fixture.Run(100);
  // given: host 1 has read that the key is held; then it was released
  const auto held = fixture.Claim(1, key);
  fixture.Run(100);
  cr_assert(held->Rejected(ErrorId::kClaimHeld, Outcome::kUnknown));
  cr_assert(fixture.Release(0, first->Grant()).ok());
  const auto second = fixture.Claim(1, key);
  fixture.Run(100);
  cr_assert(second->Granted());
}

Test(a_claim, is_rejected_if_the_key_has_no_timestamp_or_a_future_one) {
  ClaimFixture fixture;
  const auto untimed = fixture.Claim(0, "pickup");
  const std::string ahead =
      std::to_string(kStartMs / 1000 + 600) + std::string("-pickup");
  const auto future = fixture.Claim(0, ahead);
  fixture.Run(100);
  cr_assert(untimed->Rejected(ErrorId::kFieldInvalid, Outcome::kNotRun));
  cr_assert(future->Rejected(ErrorId::kFieldInvalid, Outcome::kNotRun));
}

Test(a_claim, of_an_expired_key_has_an_unknown_outcome) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("pickup");
  const auto first = fixture.Claim(0, key);
  fixture.Run(100);
  cr_assert(first->Granted());
  fixture.clock.Advance(fixture.settings.retention_ms);
  const auto late = fixture.Claim(1, key);
  fixture.Run(100);
  cr_assert(late->Rejected(ErrorId::kIdempotencyKeyExpired, Outcome::kUnknown));
}

Test(a_claim, states_a_different_guarantee_for_opaque_keys) {
  ClaimFixture fixture(1);
  cr_assert(fixture.hosts[0]->Guarantee(KeyForm::kTimed) !=
            fixture.hosts[0]->Guarantee(KeyForm::kOpaque));
  fixture.form = KeyForm::kOpaque;
  const auto opaque = fixture.Claim(0, "pickup");
  fixture.Run(100);
  cr_assert(opaque->Granted());
}

}  // namespace
}  // namespace meadowthread
