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

std::string EncodeBase64(const void* data, std::size_t size) {
  std::string text;
  absl::WebSafeBase64Escape(
      absl::string_view(static_cast<const char*>(data), size), &text);
  return text;
}

template <std::size_t Size>
bool DecodeBase64(std::string_view text,
                  std::array<std::uint8_t, Size>* bytes) {
  std::string raw;
  const absl::string_view view(text.data(), text.size());
  if (!absl::WebSafeBase64Unescape(view, &raw) || raw.size() != Size) {
    return false;
  }
  std::memcpy(bytes->data(), raw.data(), Size);
  return true;
}

json ResultToJson(const ClaimResult& result) {
  return {{"status", result.status},
          {"type", result.content_type},
          {"body", EncodeBase64(result.body.data(), result.body.size())}};
}

bool ParseResult(const json& value, ClaimResult* result) {
  if (!value.is_object()) {
    return false;
  }
  result->status = static_cast<int>(IntOr(value, "status", 0));
  result->content_type = StringOr(value, "type", "");
  const std::string body = StringOr(value, "body", "");
  return absl::WebSafeBase64Unescape(body, &result->body);
}

json EntryToJson(const ClaimEntry& entry) {
  json value = {
      {"c", kKindNames.at(static_cast<std::size_t>(entry.kind))},
      {"k", EncodeBase64(entry.key_hash.data(), entry.key_hash.size())},
      {"n", EncodeNonce(entry.nonce)},
      {"h", entry.host},
      {"t", entry.unix_ms}};
  if (entry.kind != EntryKind::kRelease) {
    value["d"] =
        EncodeBase64(entry.body_digest.data(), entry.body_digest.size());
  }
  if (entry.kind == EntryKind::kResult) {
    value["r"] = entry.result_stored_separately ? json("apart")
                                                : ResultToJson(entry.result);
  }
  return value;
}

bool ParseEntry(const json& value, ClaimEntry* entry) {
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
  const bool has_ids =
      DecodeBase64(StringOr(value, "k", ""), &entry->key_hash) &&
      DecodeBase64(StringOr(value, "n", ""), &entry->nonce);
  if (!has_ids || entry->unix_ms < 0) {
    return false;
  }
  if (entry->kind == EntryKind::kRelease) {
    return true;
  }
  if (!DecodeBase64(StringOr(value, "d", ""), &entry->body_digest)) {
    return false;
  }
  if (entry->kind == EntryKind::kClaim) {
    return true;
  }
  entry->result_stored_separately = StringOr(value, "r", "") == "apart";
  return entry->result_stored_separately ||
         ParseResult(value.value("r", json()), &entry->result);
}

absl::Status MalformedError(std::string_view name) {
  return StoreError(ErrorId::kStoreMalformed, "decode", name);
}

}  // namespace

std::string EncodeNonce(const ClaimNonce& nonce) {
  return EncodeBase64(nonce.data(), nonce.size());
}

std::string EncodeEntry(const ClaimEntry& entry) {
  return EntryToJson(entry).dump(-1, ' ', false,
                                 json::error_handler_t::replace);
}

absl::StatusOr<ClaimEntry> DecodeEntry(std::string_view text,
                                       std::string_view name) {
  ClaimEntry entry;
  if (!ParseEntry(json::parse(text, nullptr, false), &entry)) {
    return MalformedError(name);
  }
  return entry;
}

std::string EncodeSegment(const ClaimSegment& segment) {
  const json frame = {{"segment", segment.number},
                      {"prior_ms", segment.prior_ms},
                      {"sealed", segment.sealed},
                      {"oldest", segment.oldest},
                      {"dropped_ms", segment.dropped_ms}};
  // The list of entries is inserted before the closing brace of the JSON
  // object.
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
  const bool well_formed = value.is_object() && value.contains("entries") &&
                           value["entries"].is_array() &&
                           value.value("sealed", json()).is_boolean();
  if (!well_formed) {
    return MalformedError(name);
  }
  ClaimSegment segment;
  segment.number = IntOr(value, "segment", -1);
  segment.prior_ms = IntOr(value, "prior_ms", -1);
  segment.sealed = value["sealed"].get<bool>();
  segment.oldest = IntOr(value, "oldest", -1);
  segment.dropped_ms = IntOr(value, "dropped_ms", -1);
  for (const json& item : value["entries"]) {
    ClaimEntry entry;
    if (!ParseEntry(item, &entry)) {
      return MalformedError(name);
    }
    entry.encoded = item.dump(-1, ' ', false, json::error_handler_t::replace);
    segment.entries.push_back(std::move(entry));
  }
  const bool valid_numbers = segment.number >= 0 && segment.oldest >= 0 &&
                             segment.oldest <= segment.number;
  return valid_numbers ? absl::StatusOr<ClaimSegment>(std::move(segment))
                       : MalformedError(name);
}

std::string EncodeResult(const ClaimResult& result) {
  return ResultToJson(result).dump(-1, ' ', false,
                                   json::error_handler_t::replace);
}

absl::StatusOr<ClaimResult> DecodeResult(std::string_view text,
                                         std::string_view name) {
  ClaimResult result;
  if (!ParseResult(json::parse(text, nullptr, false), &result)) {
    return MalformedError(name);
  }
  return result;
}

}  // namespace meadowthread
