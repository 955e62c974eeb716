#include <criterion/criterion.h>

#include "claims/tests/claim_fixture.h"

namespace meadowthread {
namespace {

ClaimResult Confirmed() { return {201, "text/plain", "pickup confirmed"}; }

Test(a_claim, is_granted_once_over_two_hosts) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("pickup");
  const auto first = fixture.Claim(0, key);
  const auto second = fixture.Claim(1, key);
  fixture.Run(100);
  {  // then: one holds it, the other must not say 'not run'
    cr_assert(first->Granted() != second->Granted());
    const Told& other = first->Granted() ? *second : *first;
    cr_assert(other.Refused(ErrorId::kClaimHeld, Outcome::kUnknown));
  }
}

Test(a_claim, is_granted_once_on_one_host) {
  ClaimFixture fixture(1);
  const std::string key = fixture.Key("pickup");
  const auto first = fixture.Claim(0, key);
  const auto second = fixture.Claim(0, key);
  fixture.Run(100);
  cr_assert(first->Granted());
  cr_assert(second->Refused(ErrorId::kClaimHeld, Outcome::kUnknown));
}

Test(a_claim, of_another_workspace_is_another_claim) {
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

Test(a_claim, refuses_the_same_key_with_another_body) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("pickup");
  const auto first = fixture.Claim(0, key, "one towel");
  fixture.Run(100);
  const auto held = fixture.Claim(1, key, "two towels");
  fixture.Run(100);
  cr_assert(held->Refused(ErrorId::kIdempotencyKeyReused, Outcome::kNotRun));
  cr_assert(fixture.Record(0, first->Grant(), Confirmed()).ok());
  const auto done = fixture.Claim(1, key, "two towels");
  fixture.Run(100);
  cr_assert(done->Refused(ErrorId::kIdempotencyKeyReused, Outcome::kNotRun));
}

Test(a_claim, can_be_taken_again_after_it_was_given_back) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("pickup");
  const auto first = fixture.Claim(0, key);
  fixture.Run(100);
  cr_assert(fixture.Release(0, first->Grant()).ok());
  const auto second = fixture.Claim(1, key);
  fixture.Run(100);
  cr_assert(second->Granted());
}

Test(a_claim, is_judged_on_a_view_younger_than_itself) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("pickup");
  const auto first = fixture.Claim(0, key);
  fixture.Run(100);
  // given: host 1 has seen it held, and since then it was given back
  const auto held = fixture.Claim(1, key);
  fixture.Run(100);
  cr_assert(held->Refused(ErrorId::kClaimHeld, Outcome::kUnknown));
  cr_assert(fixture.Release(0, first->Grant()).ok());
  const auto second = fixture.Claim(1, key);
  fixture.Run(100);
  cr_assert(second->Granted());
}

Test(a_claim, is_refused_where_the_key_tells_no_time_or_a_future_one) {
  ClaimFixture fixture;
  const auto untimed = fixture.Claim(0, "pickup");
  const std::string ahead =
      std::to_string(kStartMs / 1000 + 600) + std::string("-pickup");
  const auto future = fixture.Claim(0, ahead);
  fixture.Run(100);
  cr_assert(untimed->Refused(ErrorId::kFieldInvalid, Outcome::kNotRun));
  cr_assert(future->Refused(ErrorId::kFieldInvalid, Outcome::kNotRun));
}

Test(a_claim, does_not_say_not_run_of_a_key_that_is_too_old) {
  ClaimFixture fixture;
  const std::string key = fixture.Key("pickup");
  const auto first = fixture.Claim(0, key);
  fixture.Run(100);
  cr_assert(first->Granted());
  fixture.clock.Advance(fixture.settings.retention_ms);
  const auto late = fixture.Claim(1, key);
  fixture.Run(100);
  cr_assert(late->Refused(ErrorId::kIdempotencyKeyExpired, Outcome::kUnknown));
}

Test(a_claim, tells_how_far_opaque_keys_reach) {
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
