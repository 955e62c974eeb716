#include "claims/forward_messages.h"

#include <criterion/criterion.h>

#include <vector>

#include "base/error.h"
#include "claims/claim_errors.h"

namespace meadowthread {
namespace {

ForwardedOp Op(EntryKind kind) {
  ForwardedOp op;
  op.shard = 5;
  op.entry.kind = kind;
  op.entry.key_hash.fill(0xfe);
  op.entry.body_digest.fill(3);
  op.entry.nonce.fill(0x81);
  op.entry.result = {200, "text/plain", std::string("sent\0\xff", 6)};
  op.search_range = {1'700'000'000'000, true};
  op.deadline_ms = 1'700'000'001'000;
  op.limit_ms = 1'700'000'000'500;
  return op;
}

absl::StatusOr<ForwardedAnswer> RoundTrip(const ForwardedOp& op,
                                          const ForwardedAnswer& answer) {
  return DecodeForwardedAnswer(op, EncodeForwardedAnswer(op, answer));
}

bool IsSame(const absl::Status& left, const absl::Status& right) {
  return left.code() == right.code() && left.message() == right.message() &&
         DetailOf(left) == DetailOf(right);
}

std::string FieldOf(const absl::Status& status) {
  return DetailOf(status).field;
}

Test(a_forwarded_operation, is_unchanged_by_encoding_and_decoding) {
  for (const EntryKind kind :
       {EntryKind::kClaim, EntryKind::kRelease, EntryKind::kResult}) {
    const ForwardedOp op = Op(kind);
    const auto read = DecodeForwardedOp(EncodeForwardedOp(op));
    cr_assert(read.ok());
    cr_assert(read->shard == op.shard);
    cr_assert(read->search_range.earliest_ms == op.search_range.earliest_ms);
    cr_assert(read->search_range.forgettable);
    cr_assert(read->deadline_ms == op.deadline_ms);
    cr_assert(read->limit_ms == op.limit_ms);
    cr_assert(EncodeEntry(read->entry) == EncodeEntry(op.entry));
    cr_assert(read->entry.encoded.empty());
  }
}

Test(a_forwarded_operation, that_is_malformed_names_the_invalid_field) {
  const std::string valid = EncodeForwardedOp(Op(EntryKind::kClaim));
  const auto field_at_fault = [&valid](const std::string& part,
                                       const std::string& replacement) {
    std::string text = valid;
    text.replace(text.find(part), part.size(), replacement);
    const auto read = DecodeForwardedOp(text);
    return read.ok() ? "none" : FieldOf(read.status());
  };
  cr_assert(field_at_fault("\"shard\":5", "\"shard\":-1") == "shard");
  cr_assert(field_at_fault("\"shard\":5", "\"shard\":4294967296") == "shard");
  cr_assert(field_at_fault("\"shard\":5", "\"other\":5") == "shard");
  cr_assert(field_at_fault("\"forgettable\":true", "\"forgettable\":1") ==
            "forgettable");
  cr_assert(field_at_fault("\"limit_ms\":1", "\"limit_ms\":-1") == "limit_ms");
  cr_assert(field_at_fault("\"deadline_ms\":1700000001000",
                           "\"deadline_ms\":\"x\"") == "deadline_ms");
  cr_assert(field_at_fault("\"earliest_ms\":17", "\"earliest_ms\":0.17") ==
            "earliest_ms");
  cr_assert(field_at_fault("\"c\":\"claim\"", "\"c\":\"clam\"") == "entry");
  cr_assert(field_at_fault("\"n\":\"", "\"n\":\"A") == "entry");
  cr_assert(field_at_fault("\"entry\":", "\"other\":") == "entry");
  for (const char* text : {"", "[]", "{", "null", "{}"}) {
    cr_assert(!DecodeForwardedOp(text).ok());
  }
}

Test(a_forwarded_answer, is_the_grant_of_the_operation) {
  const ForwardedOp op = Op(EntryKind::kClaim);
  const ClaimGrant grant = {op.entry.nonce, op.entry.key_hash,
                            op.entry.body_digest, op.shard, op.deadline_ms};
  const auto read = RoundTrip(op, {ClaimAnswer(grant), absl::OkStatus()});
  cr_assert(read.ok());
  const auto& received = std::get<ClaimGrant>(*read->claim);
  cr_assert(received.nonce == grant.nonce);
  cr_assert(received.key_hash == grant.key_hash);
  cr_assert(received.body_digest == grant.body_digest);
  cr_assert(received.shard == grant.shard);
  cr_assert(received.deadline_unix_ms == grant.deadline_unix_ms);
}

Test(a_forwarded_answer, with_a_grant_of_another_nonce_is_malformed) {
  const ForwardedOp op = Op(EntryKind::kClaim);
  ClaimGrant other;
  other.nonce.fill(7);
  const auto read = RoundTrip(op, {ClaimAnswer(other), absl::OkStatus()});
  cr_assert(!read.ok());
  cr_assert(FieldOf(read.status()) == "grant");
}

Test(a_forwarded_answer, contains_the_recorded_result) {
  const ForwardedOp op = Op(EntryKind::kClaim);
  const ClaimResult result = {201, "text/plain", std::string("\0\xff b", 4)};
  const auto read = RoundTrip(op, {ClaimAnswer(result), absl::OkStatus()});
  cr_assert(read.ok());
  cr_assert(std::get<ClaimResult>(*read->claim) == result);
}

Test(a_forwarded_answer, keeps_errors_with_all_details) {
  const ErrorDetail detail = {ErrorId::kClaimHeld,
                              Outcome::kUnknown,
                              "claim",
                              "5",
                              "Idempotency-Key",
                              1200};
  const absl::Status error =
      MakeError(absl::StatusCode::kAborted, detail, "held \"since\" noon");
  for (const absl::Status& sent :
       {error, ClaimError(ErrorId::kStoreUnavailable, "", 1000)}) {
    const auto claim =
        RoundTrip(Op(EntryKind::kClaim), {sent, absl::OkStatus()});
    cr_assert(claim.ok());
    cr_assert(IsSame(claim->claim.status(), sent));
    const auto result =
        RoundTrip(Op(EntryKind::kResult), {ClaimAnswer(ClaimGrant{}), sent});
    cr_assert(result.ok());
    cr_assert(IsSame(result->recorded, sent));
  }
}

Test(a_forwarded_answer, reports_that_a_release_is_recorded) {
  const auto read = RoundTrip(Op(EntryKind::kRelease), ForwardedAnswer());
  cr_assert(read.ok());
  cr_assert(read->recorded.ok());
}

Test(a_forwarded_answer, that_is_malformed_is_rejected) {
  const std::string success =
      R"({"error":{"status":0,"message":"","id":601,"outcome":2,"step":"",)"
      R"("peer":"","field":"","retry_after_ms":-1}})";
  const std::string no_outcome =
      R"({"error":{"status":10,"message":"","id":601,"outcome":9,"step":"",)"
      R"("peer":"","field":"","retry_after_ms":-1}})";
  const std::vector<std::string> parts = {
      success, no_outcome, R"({"error":{}})", R"({"error":1})", R"({"x":1})",
      "[]",    "1"};
  for (const std::string& part : parts) {
    cr_assert(!DecodeForwardedAnswer(Op(EntryKind::kClaim),
                                     R"({"claim":)" + part + "}")
                   .ok());
    cr_assert(!DecodeForwardedAnswer(Op(EntryKind::kRelease),
                                     R"({"recorded":)" + part + "}")
                   .ok());
  }
  for (const char* text :
       {"", "{}", "{\"claim\":{}}", "{\"claim\":{\"result\":1}}",
        "{\"claim\":{\"grant\":null}}", "{\"recorded\":{}}"}) {
    cr_assert(!DecodeForwardedAnswer(Op(EntryKind::kClaim), text).ok());
  }
}

}  // namespace
}  // namespace meadowthread
