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

std::string Text(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::Status Malformed(std::string_view field) {
  ErrorDetail detail;
  detail.id = ErrorId::kPeerMalformed;
  detail.step = kStep;
  detail.field = std::string(field);
  return MakeError(absl::StatusCode::kInvalidArgument, detail,
                   "a forwarded claim or its answer cannot be read");
}

/// @brief Reads an object's fields; the first one at fault is kept.
class FieldReader {
 public:
  explicit FieldReader(const json& object) : object(object) {}

  std::int64_t Int(std::string_view field, std::int64_t least,
                   std::int64_t most) {
    const absl::StatusOr<std::int64_t> value = IntField(this->object, field);
    if (!value.ok() || *value < least || *value > most) {
      this->Fail(field);
      return least;
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

  const absl::Status& End() const { return this->status; }

 private:
  void Fail(std::string_view field) {
    if (this->status.ok()) {
      this->status = Malformed(field);
    }
  }

  const json& object;
  absl::Status status;
};

json ErrorJson(const absl::Status& status) {
  json value = ErrorDetailJson(DetailOf(status));
  value["status"] = static_cast<int>(status.code());
  value["message"] = std::string{status.message()};
  return value;
}

// An error answer is never a success: code 0 is malformed.
absl::Status ReadError(const json& value, absl::Status* error) {
  if (!value.is_object()) {
    return Malformed("error");
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
  return fields.End();
}

json ClaimJson(const absl::StatusOr<ClaimAnswer>& claim) {
  if (!claim.ok()) {
    return {{"error", ErrorJson(claim.status())}};
  }
  if (const auto* grant = std::get_if<ClaimGrant>(&*claim)) {
    return {{"grant", NonceText(grant->nonce)}};
  }
  const std::string result = EncodeResult(std::get<ClaimResult>(*claim));
  return {{"result", json::parse(result)}};
}

// The grant is made of what was asked, so that no answer can alter it.
absl::Status ReadGrant(const ForwardedOp& op, const json& value,
                       ForwardedAnswer* answer) {
  if (value != json(NonceText(op.entry.nonce))) {
    return Malformed("grant");
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
    return Malformed("claim");
  }
  if (value.contains("grant")) {
    return ReadGrant(op, value["grant"], answer);
  }
  if (value.contains("result")) {
    absl::StatusOr<ClaimResult> result =
        DecodeResult(Text(value["result"]), "result");
    if (!result.ok()) {
      return Malformed("result");
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
    return Malformed("recorded");
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
                      {"earliest_ms", op.span.earliest_ms},
                      {"forgettable", op.span.forgettable},
                      {"deadline_ms", op.deadline_ms},
                      {"limit_ms", op.limit_ms}};
  return Text(value);
}

absl::StatusOr<ForwardedOp> DecodeForwardedOp(std::string_view text) {
  const absl::StatusOr<json> value = ParseObject(text, kStep, "");
  if (!value.ok()) {
    return value.status();
  }
  FieldReader fields(*value);
  ForwardedOp op;
  op.shard = static_cast<std::uint32_t>(fields.Int("shard", 0, kMaxShard));
  op.span.earliest_ms = fields.Int("earliest_ms", -kMaxTime, kMaxTime);
  op.span.forgettable = fields.Bool("forgettable");
  op.deadline_ms = fields.Int("deadline_ms", 0, kMaxTime);
  op.limit_ms = fields.Int("limit_ms", 0, kMaxTime);
  if (!fields.End().ok()) {
    return fields.End();
  }
  absl::StatusOr<ClaimEntry> entry =
      DecodeEntry(Text(value->value("entry", json())), "entry");
  if (!entry.ok()) {
    return Malformed("entry");
  }
  op.entry = *std::move(entry);
  return op;
}

std::string EncodeForwardedAnswer(const ForwardedOp& op,
                                  const ForwardedAnswer& answer) {
  if (op.entry.kind == EntryKind::kClaim) {
    return Text({{"claim", ClaimJson(answer.claim)}});
  }
  json recorded = json::object();
  if (!answer.recorded.ok()) {
    recorded["error"] = ErrorJson(answer.recorded);
  }
  return Text({{"recorded", recorded}});
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
