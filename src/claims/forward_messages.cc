#include "claims/forward_messages.h"

#include <cstdint>
#include <limits>
#include <utility>
#include <variant>

#include "base/error_json.h"
#include "base/json_fields.h"
#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr char kStep[] = "claim.forward";
constexpr std::int64_t kLastStatusCode = 16;
constexpr auto kLastOutcome = static_cast<std::int64_t>(Outcome::kInterrupted);
constexpr std::int64_t kMaxInt = std::numeric_limits<int>::max();
constexpr std::int64_t kMaxShard = std::numeric_limits<std::uint32_t>::max();
constexpr std::int64_t kMaxTime = std::numeric_limits<std::int64_t>::max();

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::Status MalformedError(std::string_view field) {
  ErrorDetail detail;
  detail.id = ErrorId::kPeerMalformed;
  detail.step = kStep;
  detail.field = std::string(field);
  return MakeError(absl::StatusCode::kInvalidArgument, detail,
                   "a forwarded claim or its answer is malformed");
}

/// @brief Reads an object's fields and keeps the error of the first invalid
/// one.
class FieldReader {
 public:
  explicit FieldReader(const json& object) : object(object) {}

  std::int64_t Int(std::string_view field, std::int64_t min, std::int64_t max) {
    const absl::StatusOr<std::int64_t> value = IntField(this->object, field);
    if (!value.ok() || *value < min || *value > max) {
      this->Fail(field);
      return min;
    }
    return *value;
  }

  std::string String(std::string_view field) {
    const absl::StatusOr<std::string> value = StringField(this->object, field);
    if (!value.ok()) {
      this->Fail(field);
      return "";
    }
    return *value;
  }

  bool Bool(std::string_view field) {
    const json value = this->object.value(std::string(field), json());
    if (!value.is_boolean()) {
      this->Fail(field);
      return false;
    }
    return value.get<bool>();
  }

  const absl::Status& FirstError() const { return this->status; }

 private:
  void Fail(std::string_view field) {
    if (this->status.ok()) {
      this->status = MalformedError(field);
    }
  }

  const json& object;
  absl::Status status;
};

json ErrorToJson(const absl::Status& status) {
  json value = ErrorDetailJson(DetailOf(status));
  value["status"] = static_cast<int>(status.code());
  value["message"] = std::string{status.message()};
  return value;
}

// Status code 0 (OK) is malformed in an error.
absl::Status ReadError(const json& value, absl::Status* error) {
  if (!value.is_object()) {
    return MalformedError("error");
  }
  FieldReader fields(value);
  ErrorDetail detail;
  const std::int64_t code = fields.Int("status", 1, kLastStatusCode);
  const std::string message = fields.String("message");
  detail.id = static_cast<ErrorId>(fields.Int("id", 1, kMaxInt));
  detail.outcome = static_cast<Outcome>(fields.Int("outcome", 0, kLastOutcome));
  detail.step = fields.String("step");
  detail.peer = fields.String("peer");
  detail.field = fields.String("field");
  detail.retry_after_ms = fields.Int("retry_after_ms", -1, kMaxTime);
  *error = MakeError(static_cast<absl::StatusCode>(code), detail, message);
  return fields.FirstError();
}

json ClaimToJson(const absl::StatusOr<ClaimAnswer>& claim) {
  if (!claim.ok()) {
    return {{"error", ErrorToJson(claim.status())}};
  }
  if (const auto* grant = std::get_if<ClaimGrant>(&*claim)) {
    return {{"grant", EncodeNonce(grant->nonce)}};
  }
  const std::string result = EncodeResult(std::get<ClaimResult>(*claim));
  return {{"result", json::parse(result)}};
}

// The grant is built from the operation that was sent, so that an answer cannot
// change its fields.
absl::Status ReadGrant(const ForwardedOp& op, const json& value,
                       ForwardedAnswer* answer) {
  if (value != json(EncodeNonce(op.entry.nonce))) {
    return MalformedError("grant");
  }
  ClaimGrant grant;
  grant.nonce = op.entry.nonce;
  grant.key_hash = op.entry.key_hash;
  grant.body_digest = op.entry.body_digest;
  grant.shard = op.shard;
  grant.deadline_unix_ms = op.deadline_ms;
  answer->claim = ClaimAnswer(grant);
  return absl::OkStatus();
}

absl::Status ReadClaim(const ForwardedOp& op, const json& value,
                       ForwardedAnswer* answer) {
  if (!value.is_object() || value.size() != 1) {
    return MalformedError("claim");
  }
  if (value.contains("grant")) {
    return ReadGrant(op, value["grant"], answer);
  }
  if (value.contains("result")) {
    absl::StatusOr<ClaimResult> result =
        DecodeResult(Dump(value["result"]), "result");
    if (!result.ok()) {
      return MalformedError("result");
    }
    answer->claim = ClaimAnswer(*std::move(result));
    return absl::OkStatus();
  }
  absl::Status error;
  absl::Status read = ReadError(value.value("error", json()), &error);
  if (read.ok()) {
    answer->claim = error;
  }
  return read;
}

absl::Status ReadRecorded(const json& value, ForwardedAnswer* answer) {
  if (!value.is_object()) {
    return MalformedError("recorded");
  }
  if (value.empty()) {
    return absl::OkStatus();
  }
  return ReadError(value.value("error", json()), &answer->recorded);
}

}  // namespace

std::string EncodeForwardedOp(const ForwardedOp& op) {
  const json value = {{"shard", op.shard},
                      {"entry", json::parse(EncodeEntry(op.entry))},
                      {"earliest_ms", op.search_range.earliest_ms},
                      {"forgettable", op.search_range.forgettable},
                      {"deadline_ms", op.deadline_ms},
                      {"limit_ms", op.limit_ms}};
  return Dump(value);
}

absl::StatusOr<ForwardedOp> DecodeForwardedOp(std::string_view text) {
  const absl::StatusOr<json> value = ParseObject(text, kStep, "");
  if (!value.ok()) {
    return value.status();
  }
  FieldReader fields(*value);
  ForwardedOp op;
  op.shard = static_cast<std::uint32_t>(fields.Int("shard", 0, kMaxShard));
  op.search_range.earliest_ms = fields.Int("earliest_ms", -kMaxTime, kMaxTime);
  op.search_range.forgettable = fields.Bool("forgettable");
  op.deadline_ms = fields.Int("deadline_ms", 0, kMaxTime);
  op.limit_ms = fields.Int("limit_ms", 0, kMaxTime);
  if (!fields.FirstError().ok()) {
    return fields.FirstError();
  }
  absl::StatusOr<ClaimEntry> entry =
      DecodeEntry(Dump(value->value("entry", json())), "entry");
  if (!entry.ok()) {
    return MalformedError("entry");
  }
  op.entry = *std::move(entry);
  return op;
}

std::string EncodeForwardedAnswer(const ForwardedOp& op,
                                  const ForwardedAnswer& answer) {
  if (op.entry.kind == EntryKind::kClaim) {
    return Dump({{"claim", ClaimToJson(answer.claim)}});
  }
  json recorded = json::object();
  if (!answer.recorded.ok()) {
    recorded["error"] = ErrorToJson(answer.recorded);
  }
  return Dump({{"recorded", recorded}});
}

absl::StatusOr<ForwardedAnswer> DecodeForwardedAnswer(const ForwardedOp& op,
                                                      std::string_view text) {
  const absl::StatusOr<json> value = ParseObject(text, kStep, "");
  if (!value.ok()) {
    return value.status();
  }
  ForwardedAnswer answer;
  const absl::Status read =
      op.entry.kind == EntryKind::kClaim
          ? ReadClaim(op, value->value("claim", json()), &answer)
          : ReadRecorded(value->value("recorded", json()), &answer);
  if (!read.ok()) {
    return read;
  }
  return answer;
}

}  // namespace meadowthread
