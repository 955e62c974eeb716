#include "placement/lease_document.h"

#include <charconv>
#include <limits>

#include "absl/strings/str_cat.h"
#include "base/json_fields.h"
#include "nlohmann/json.hpp"
#include "placement/json_field_reader.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr std::string_view kStep = "lease.parse";
constexpr std::int64_t kMaxValue = std::numeric_limits<std::int64_t>::max();

// The field `nonce` is `tenure.sequence`. It differs for every write, so that
// reading the object back tells which write took effect.
void ReadNonce(detail::JsonFieldReader& reader, LeaseDocument& document) {
  const std::string nonce = reader.String("nonce");
  if (!reader.Status().ok()) {
    return;
  }
  const std::size_t dot = nonce.find('.');
  if (dot == std::string::npos || dot == 0) {
    reader.Fail("nonce", "is not of the form tenure.sequence");
    return;
  }
  document.tenure = nonce.substr(0, dot);
  const char* last = nonce.data() + nonce.size();
  const std::from_chars_result read =
      std::from_chars(nonce.data() + dot + 1, last, document.sequence);
  if (read.ec != std::errc() || read.ptr != last || document.sequence < 0) {
    reader.Fail("nonce", "does not end in a sequence number");
  }
}

}  // namespace

std::string EncodeLease(const LeaseDocument& document) {
  const json value = {
      {"holder", document.holder},
      {"incarnation", document.incarnation},
      {"nonce", absl::StrCat(document.tenure, ".", document.sequence)},
      {"ttl_ms", document.ttl_ms},
      {"order_window_ms", document.order_window_ms},
      {"expires_unix_ms", document.expires_unix_ms},
      {"order_deadline_unix_ms", document.order_deadline_unix_ms},
  };
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<LeaseDocument> ParseLease(std::string_view text) {
  const absl::StatusOr<json> object = ParseObject(text, kStep, kLeaseKind);
  if (!object.ok()) {
    return object.status();
  }
  detail::JsonFieldReader reader(*object, kStep);
  LeaseDocument document;
  document.holder = reader.String("holder");
  document.incarnation = reader.String("incarnation");
  ReadNonce(reader, document);
  document.ttl_ms = reader.Int("ttl_ms", 0, kMaxLeaseMs);
  document.order_window_ms = reader.Int("order_window_ms", 0, kMaxLeaseMs);
  document.expires_unix_ms = reader.Int("expires_unix_ms", 0, kMaxValue);
  document.order_deadline_unix_ms =
      reader.Int("order_deadline_unix_ms", 0, kMaxValue);
  if (!reader.Status().ok()) {
    return reader.Status();
  }
  return document;
}

}  // namespace meadowthread
