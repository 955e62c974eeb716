#include "answer/resume_token.h"

#include <QCryptographicHash>
#include <QMessageAuthenticationCode>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/json_fields.h"
#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

using nlohmann::json;

std::string HmacSha256(std::string_view payload, const std::string& key) {
  const QByteArray mac = QMessageAuthenticationCode::hash(
      QByteArray(payload.data(), static_cast<qsizetype>(payload.size())),
      QByteArray::fromStdString(key), QCryptographicHash::Sha256);
  std::string text;
  absl::WebSafeBase64Escape(mac.toStdString(), &text);
  return text;
}

// Compares all bytes whatever they are, so that the time taken does not reveal
// how much of a forged signature is correct.
bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned char differing_bits = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    differing_bits |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return differing_bits == 0;
}

absl::Status TokenError(ErrorId id, std::string_view message) {
  ErrorDetail detail;
  detail.id = id;
  detail.step = "resume";
  detail.field = "Meadowthread-Resume-Token";
  return MakeError(absl::StatusCode::kPermissionDenied, detail, message);
}

json ToJson(const ResumeTokenClaims& claims) {
  return {{"r", claims.request},         {"w", claims.workspace},
          {"c", claims.caller},          {"e", claims.engine.engine},
          {"u", claims.engine.base_url}, {"g", claims.generation},
          {"m", claims.model},           {"f", static_cast<int>(claims.form)},
          {"t", claims.created_unix_s},  {"x", claims.expires_unix_ms}};
}

ResumeTokenClaims FromJson(const json& value) {
  ResumeTokenClaims claims;
  claims.request = StringOr(value, "r", "");
  claims.workspace = StringOr(value, "w", "");
  claims.caller = StringOr(value, "c", "");
  claims.engine.engine = StringOr(value, "e", "");
  claims.engine.base_url = StringOr(value, "u", "");
  claims.generation = StringOr(value, "g", "");
  claims.model = StringOr(value, "m", "");
  claims.form = IntOr(value, "f", 0) == 0 ? CompletionApi::kChat
                                          : CompletionApi::kCompletion;
  claims.created_unix_s = IntOr(value, "t", 0);
  claims.expires_unix_ms = IntOr(value, "x", 0);
  return claims;
}

}  // namespace

ResumeTokenCodec::ResumeTokenCodec(std::vector<std::string> keys)
    : keys(std::move(keys)) {}

std::string ResumeTokenCodec::Sign(const ResumeTokenClaims& claims) const {
  std::string payload;
  absl::WebSafeBase64Escape(ToJson(claims).dump(), &payload);
  return absl::StrCat(payload, ".", HmacSha256(payload, this->keys.front()));
}

bool ResumeTokenCodec::HasValidSignature(std::string_view payload,
                                         std::string_view signature) const {
  for (const std::string& key : this->keys) {
    if (ConstantTimeEqual(HmacSha256(payload, key), signature)) {
      return true;
    }
  }
  return false;
}

absl::StatusOr<ResumeTokenClaims> ResumeTokenCodec::Verify(
    std::string_view token, std::string_view workspace, std::string_view caller,
    std::int64_t now_unix_ms) const {
  const std::size_t dot = token.find('.');
  if (dot == std::string_view::npos ||
      !this->HasValidSignature(token.substr(0, dot), token.substr(dot + 1))) {
    return TokenError(ErrorId::kResumeTokenInvalid,
                      "the resume token is malformed or its signature is "
                      "invalid");
  }
  std::string text;
  absl::WebSafeBase64Unescape(absl::string_view(token.data(), dot), &text);
  const ResumeTokenClaims claims = FromJson(json::parse(text, nullptr, false));
  if (claims.workspace != workspace || claims.caller != caller) {
    return TokenError(ErrorId::kResumeTokenInvalid,
                      "the resume token belongs to another caller");
  }
  if (claims.expires_unix_ms <= now_unix_ms) {
    return TokenError(ErrorId::kResumeTokenExpired,
                      "the resume token has expired");
  }
  return claims;
}

}  // namespace meadowthread
