#include "claims/claim_entry.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

#include "absl/strings/escaping.h"
#include "base/json_fields.h"
#include "nlohmann/json.hpp"
#include "store/store_errors.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 3> kKindNames = {"claim", "release",
                                                        "result"};

std::string Base64(const void* data, std::size_t size) {
  std::string text;
  absl::WebSafeBase64Escape(
      absl::string_view(static_cast<const char*>(data), size), &text);
  return text;
}

template <std::size_t Size>
bool FromBase64(std::string_view text, std::array<std::uint8_t, Size>* bytes) {
  std::string raw;
  const absl::string_view view(text.data(), text.size());
  if (!absl::WebSafeBase64Unescape(view, &raw) || raw.size() != Size) {
    return false;
  }
  std::memcpy(bytes->data(), raw.data(), Size);
  return true;
}

json ResultJson(const ClaimResult& result) {
  return {{"status", result.status},
          {"type", result.content_type},
          {"body", Base64(result.body.data(), result.body.size())}};
}

bool ResultOf(const json& value, ClaimResult* result) {
  if (!value.is_object()) {
    return false;
  }
  result->status = static_cast<int>(IntOr(value, "status", 0));
  result->content_type = StringOr(value, "type", "");
  const std::string body = StringOr(value, "body", "");
  return absl::WebSafeBase64Unescape(body, &result->body);
}

json EntryJson(const ClaimEntry& entry) {
  json value = {{"c", kKindNames.at(static_cast<std::size_t>(entry.kind))},
                {"k", Base64(entry.key_hash.data(), entry.key_hash.size())},
                {"n", NonceText(entry.nonce)},
                {"h", entry.host},
                {"t", entry.unix_ms}};
  if (entry.kind != EntryKind::kRelease) {
    value["d"] = Base64(entry.body_digest.data(), entry.body_digest.size());
  }
  if (entry.kind == EntryKind::kResult) {
    value["r"] = entry.result_apart ? json("apart") : ResultJson(entry.result);
  }
  return value;
}

bool EntryOf(const json& value, ClaimEntry* entry) {
  if (!value.is_object()) {
    return false;
  }
  const std::string kind = StringOr(value, "c", "");
  const auto* const found = std::ranges::find(kKindNames, kind);
  if (found == kKindNames.end()) {
    return false;
  }
  entry->kind = static_cast<EntryKind>(found - kKindNames.begin());
  entry->host = StringOr(value, "h", "");
  entry->unix_ms = IntOr(value, "t", -1);
  const bool named = FromBase64(StringOr(value, "k", ""), &entry->key_hash) &&
                     FromBase64(StringOr(value, "n", ""), &entry->nonce);
  if (!named || entry->unix_ms < 0) {
    return false;
  }
  if (entry->kind == EntryKind::kRelease) {
    return true;
  }
  if (!FromBase64(StringOr(value, "d", ""), &entry->body_digest)) {
    return false;
  }
  if (entry->kind == EntryKind::kClaim) {
    return true;
  }
  entry->result_apart = StringOr(value, "r", "") == "apart";
  return entry->result_apart ||
         ResultOf(value.value("r", json()), &entry->result);
}

absl::Status Malformed(std::string_view name) {
  return StoreError(ErrorId::kStoreMalformed, "decode", name);
}

}  // namespace

std::string NonceText(const ClaimNonce& nonce) {
  return Base64(nonce.data(), nonce.size());
}

std::string EncodeEntry(const ClaimEntry& entry) {
  return EntryJson(entry).dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<ClaimEntry> DecodeEntry(std::string_view text,
                                       std::string_view name) {
  ClaimEntry entry;
  if (!EntryOf(json::parse(text, nullptr, false), &entry)) {
    return Malformed(name);
  }
  return entry;
}

std::string EncodeSegment(const ClaimSegment& segment) {
  const json frame = {{"segment", segment.number},
                      {"prior_ms", segment.prior_ms},
                      {"sealed", segment.sealed},
                      {"oldest", segment.oldest},
                      {"dropped_ms", segment.dropped_ms}};
  // The frame's last brace is where the list of entries goes in.
  std::string text = frame.dump();
  text.pop_back();
  text += ",\"entries\":[";
  for (const ClaimEntry& entry : segment.entries) {
    text += entry.encoded.empty() ? EncodeEntry(entry) : entry.encoded;
    text += ',';
  }
  if (!segment.entries.empty()) {
    text.pop_back();
  }
  text += "]}";
  return text;
}

absl::StatusOr<ClaimSegment> DecodeSegment(std::string_view text,
                                           std::string_view name) {
  const json value = json::parse(text, nullptr, false);
  const bool whole = value.is_object() && value.contains("entries") &&
                     value["entries"].is_array() &&
                     value.value("sealed", json()).is_boolean();
  if (!whole) {
    return Malformed(name);
  }
  ClaimSegment segment;
  segment.number = IntOr(value, "segment", -1);
  segment.prior_ms = IntOr(value, "prior_ms", -1);
  segment.sealed = value["sealed"].get<bool>();
  segment.oldest = IntOr(value, "oldest", -1);
  segment.dropped_ms = IntOr(value, "dropped_ms", -1);
  for (const json& item : value["entries"]) {
    ClaimEntry entry;
    if (!EntryOf(item, &entry)) {
      return Malformed(name);
    }
    entry.encoded = item.dump(-1, ' ', false, json::error_handler_t::replace);
    segment.entries.push_back(std::move(entry));
  }
  const bool sound = segment.number >= 0 && segment.oldest >= 0 &&
                     segment.oldest <= segment.number;
  return sound ? absl::StatusOr<ClaimSegment>(std::move(segment))
               : Malformed(name);
}

std::string EncodeResult(const ClaimResult& result) {
  return ResultJson(result).dump(-1, ' ', false,
                                 json::error_handler_t::replace);
}

absl::StatusOr<ClaimResult> DecodeResult(std::string_view text,
                                         std::string_view name) {
  ClaimResult result;
  if (!ResultOf(json::parse(text, nullptr, false), &result)) {
    return Malformed(name);
  }
  return result;
}

}  // namespace meadowthread
