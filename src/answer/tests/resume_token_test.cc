#include "answer/resume_token.h"

#include <criterion/criterion.h>

#include "base/error.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kNowMs = 1'000'000;

ResumeTokenClaims Claims() {
  ResumeTokenClaims claims;
  claims.request = "r-1";
  claims.workspace = "makati";
  claims.caller = "c0ffee";
  claims.engine = {"engine-3", "http://127.0.0.1:9103"};
  claims.generation = "e3-1-42";
  claims.model = "reconcile";
  claims.form = CompletionApi::kCompletion;
  claims.created_unix_s = 7;
  claims.expires_unix_ms = kNowMs + 1;
  return claims;
}

ErrorId IdOf(const absl::StatusOr<ResumeTokenClaims>& result) {
  return DetailOf(result.status()).id;
}

Test(a_resume_token, keeps_its_claims_when_verified) {
  const ResumeTokenCodec codec({"key-a"});
  const auto result =
      codec.Verify(codec.Sign(Claims()), "makati", "c0ffee", kNowMs);
  cr_assert(result.ok());
  cr_assert(*result == Claims());
}

Test(a_resume_token, of_another_workspace_or_caller_is_rejected) {
  const ResumeTokenCodec codec({"key-a"});
  const std::string token = codec.Sign(Claims());
  cr_assert(IdOf(codec.Verify(token, "pasig", "c0ffee", kNowMs)) ==
            ErrorId::kResumeTokenInvalid);
  cr_assert(IdOf(codec.Verify(token, "makati", "other", kNowMs)) ==
            ErrorId::kResumeTokenInvalid);
}

Test(a_resume_token, that_was_altered_at_any_position_is_rejected) {
  const ResumeTokenCodec codec({"key-a"});
  const std::string token = codec.Sign(Claims());
  for (std::size_t i = 0; i < token.size(); ++i) {
    std::string altered = token;
    altered[i] = altered[i] == 'A' ? 'B' : 'A';
    cr_assert(!codec.Verify(altered, "makati", "c0ffee", kNowMs).ok(),
              "position %zu", i);
  }
  cr_assert(!codec.Verify("", "makati", "c0ffee", kNowMs).ok());
  cr_assert(!codec.Verify("a.b", "makati", "c0ffee", kNowMs).ok());
}

Test(a_resume_token, that_has_expired_is_rejected) {
  const ResumeTokenCodec codec({"key-a"});
  cr_assert(IdOf(codec.Verify(codec.Sign(Claims()), "makati", "c0ffee",
                              kNowMs + 1)) == ErrorId::kResumeTokenExpired);
}

Test(a_resume_token, is_accepted_until_its_key_is_removed) {
  const ResumeTokenCodec before({"key-a"});
  const ResumeTokenCodec during({"key-b", "key-a"});
  const ResumeTokenCodec after({"key-b"});
  const std::string token = before.Sign(Claims());
  cr_assert(during.Verify(token, "makati", "c0ffee", kNowMs).ok());
  cr_assert(!after.Verify(token, "makati", "c0ffee", kNowMs).ok());
}

}  // namespace
}  // namespace meadowthread
