#include "exchange/exchange_message.h"

#include <algorithm>
#include <charconv>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/json_fields.h"

namespace meadowthread {
namespace {

constexpr std::size_t kMaxOutlook = 64;
constexpr std::int64_t kMaxVersionOffset = std::int64_t{1} << 53;

using nlohmann::json;

constexpr char kDecodeStep[] = "exchange_decode";
constexpr int kHexBase = 16;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::Status Invalid(std::string_view field, std::string_view what) {
  ErrorDetail detail;
  detail.id = ErrorId::kFieldInvalid;
  detail.step = kDecodeStep;
  detail.field = std::string(field);
  return MakeError(
      absl::StatusCode::kInvalidArgument, detail,
      absl::StrCat("field '", std::string(field), "' ", std::string(what)));
}

absl::Status WithPeer(const absl::Status& status, std::string_view peer) {
  ErrorDetail detail = DetailOf(status);
  detail.step = kDecodeStep;
  detail.peer = std::string(peer);
  const std::string message(status.message().data(), status.message().size());
  return MakeError(status.code(), detail, message);
}

///////////////
// 1. encode //
///////////////

// `kind` is omitted where it equals the kind of the enclosing view: field names
// and kinds make up most bytes of an exchange without changes.
json ItemJson(const StoredObject& item, std::string_view view_kind) {
  json value = {{"name", item.name}, {"version", item.version}};
  if (item.kind != view_kind) {
    value["kind"] = item.kind;
  }
  if (item.deleted) {
    value["deleted"] = true;
  } else {
    value["value"] = item.value;
  }
  return value;
}

json ItemsJson(std::span<const StoredObject> items,
               std::string_view view_kind) {
  json list = json::array();
  for (const StoredObject& item : items) {
    list.push_back(ItemJson(item, view_kind));
  }
  return list;
}

// Offsets from the revision, which are short.
json OffsetsJson(const KindDigest& digest) {
  json offsets = json::array();
  for (const std::int64_t version : digest.beyond_versions) {
    offsets.push_back(version - digest.revision);
  }
  return offsets;
}

json ViewJson(const KindUpdate& view) {
  const KindDigest& digest = view.digest;
  json value = {{"kind", digest.kind},
                {"revision", digest.revision},
                {"confirmed_unix_ms", digest.confirmed_unix_ms},
                {"confirmed_by", digest.confirmed_by}};
  if (digest.beyond != 0) {
    value["beyond"] = absl::StrCat(absl::Hex(digest.beyond));
  }
  if (!digest.beyond_versions.empty()) {
    value["beyond_at"] = OffsetsJson(digest);
  }
  if (view.full_state_required) {
    value["ask_anew"] = true;
  }
  if (!view.delta.has_value()) {
    return value;
  }
  const KindDelta& delta = *view.delta;
  value["since"] = delta.since;
  value["upto"] = delta.revision;
  value["full"] = delta.full;
  value["cut"] = delta.cut;
  value["items"] = ItemsJson(delta.items, digest.kind);
  return value;
}

json LoadJson(const EngineLoadNote& note) {
  json value = {{"engine", note.engine},
                {"in_flight", note.in_flight},
                {"reserved_tokens", note.reserved_tokens},
                {"as_of_unix_ms", note.as_of_unix_ms}};
  if (note.held_tokens > 0) {
    value["held_tokens"] = note.held_tokens;
  }
  if (!note.outlook.empty()) {
    value["outlook"] = note.outlook;
  }
  return value;
}

///////////////
// 2. decode //
///////////////

absl::StatusOr<std::int64_t> NotNegative(const json& object,
                                         std::string_view field) {
  absl::StatusOr<std::int64_t> number = IntField(object, field);
  if (number.ok() && *number < 0) {
    return Invalid(field, "is negative");
  }
  return number;
}

absl::StatusOr<const json*> ListField(const json& object, const char* field) {
  const auto found = object.find(field);
  if (found == object.end()) {
    return nullptr;
  }
  if (!found->is_array()) {
    return Invalid(field, "is not a list");
  }
  return &*found;
}

absl::StatusOr<StoredObject> ItemFrom(const json& value,
                                      std::string_view view_kind) {
  StoredObject item;
  item.kind = StringOr(value, "kind", view_kind);
  if (item.kind.empty()) {
    return Invalid("kind", "is missing");
  }
  const absl::StatusOr<std::string> name = StringField(value, "name");
  if (!name.ok()) {
    return name.status();
  }
  item.name = *name;
  const absl::StatusOr<std::int64_t> version = NotNegative(value, "version");
  if (!version.ok()) {
    return version.status();
  }
  item.version = *version;
  item.deleted = BoolOr(value, "deleted", false);
  if (item.deleted) {
    return item;
  }
  const absl::StatusOr<std::string> text = StringField(value, "value");
  if (!text.ok()) {
    return text.status();
  }
  item.value = *text;
  return item;
}

absl::StatusOr<std::vector<StoredObject>> ItemsFrom(
    const json& list, std::string_view view_kind) {
  std::vector<StoredObject> items;
  items.reserve(list.size());
  for (const json& value : list) {
    absl::StatusOr<StoredObject> item = ItemFrom(value, view_kind);
    if (!item.ok()) {
      return item.status();
    }
    items.push_back(std::move(*item));
  }
  return items;
}

// The versions only save bytes: malformed or too many ones are dropped.
std::vector<std::int64_t> BeyondVersionsFrom(const json& value,
                                             std::int64_t revision) {
  const auto found = value.find("beyond_at");
  if (found == value.end() || !found->is_array() ||
      found->size() > kMaxBeyondVersions || revision > kMaxVersionOffset) {
    return {};
  }
  std::vector<std::int64_t> versions;
  for (const json& offset : *found) {
    const bool fits = offset.is_number_integer() &&
                      offset.get<std::int64_t>() >= 0 &&
                      offset.get<std::int64_t>() <= kMaxVersionOffset;
    if (!fits) {
      return {};
    }
    versions.push_back(revision + offset.get<std::int64_t>());
  }
  std::sort(versions.begin(), versions.end());
  return versions;
}

absl::StatusOr<KindDigest> DigestFrom(const json& value) {
  KindDigest digest;
  const absl::StatusOr<std::string> kind = StringField(value, "kind");
  if (!kind.ok()) {
    return kind.status();
  }
  digest.kind = *kind;
  const absl::StatusOr<std::int64_t> revision = NotNegative(value, "revision");
  if (!revision.ok()) {
    return revision.status();
  }
  digest.revision = *revision;
  digest.confirmed_unix_ms = IntOr(value, "confirmed_unix_ms", 0);
  digest.confirmed_by = StringOr(value, "confirmed_by", "");
  const std::string beyond = StringOr(value, "beyond", "0");
  const char* const end = beyond.data() + beyond.size();
  const std::from_chars_result parsed =
      std::from_chars(beyond.data(), end, digest.beyond, kHexBase);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return Invalid("beyond", "is not a hexadecimal number");
  }
  digest.beyond_versions = BeyondVersionsFrom(value, digest.revision);
  return digest;
}

absl::StatusOr<KindDelta> DeltaFrom(const json& value, const json& items,
                                    const KindDigest& digest) {
  KindDelta delta;
  delta.kind = digest.kind;
  const absl::StatusOr<std::int64_t> since = NotNegative(value, "since");
  if (!since.ok()) {
    return since.status();
  }
  delta.since = *since;
  const absl::StatusOr<std::int64_t> upto = NotNegative(value, "upto");
  if (!upto.ok()) {
    return upto.status();
  }
  delta.revision = *upto;
  delta.full = BoolOr(value, "full", false);
  delta.cut = BoolOr(value, "cut", false);
  // A truncated delta ends below the confirmed revision, so the confirmation
  // does not cover it.
  if (delta.revision == digest.revision) {
    delta.confirmed_unix_ms = digest.confirmed_unix_ms;
    delta.confirmed_by = digest.confirmed_by;
  }
  absl::StatusOr<std::vector<StoredObject>> read =
      ItemsFrom(items, digest.kind);
  if (!read.ok()) {
    return read.status();
  }
  delta.items = std::move(*read);
  return delta;
}

absl::StatusOr<KindUpdate> ViewFrom(const json& value) {
  if (!value.is_object()) {
    return Invalid("views", "has an element that is not an object");
  }
  absl::StatusOr<KindDigest> digest = DigestFrom(value);
  if (!digest.ok()) {
    return digest.status();
  }
  KindUpdate view{std::move(*digest), std::nullopt,
                  BoolOr(value, "ask_anew", false)};
  const absl::StatusOr<const json*> items = ListField(value, "items");
  if (!items.ok()) {
    return items.status();
  }
  if (*items == nullptr) {
    return view;
  }
  absl::StatusOr<KindDelta> delta = DeltaFrom(value, **items, view.digest);
  if (!delta.ok()) {
    return delta.status();
  }
  view.delta = std::move(*delta);
  return view;
}

// The outlook is only a hint: an invalid or too long one is dropped.
std::vector<std::int64_t> OutlookFrom(const json& value) {
  std::vector<std::int64_t> outlook;
  const auto found = value.find("outlook");
  if (found == value.end() || !found->is_array() ||
      found->size() > kMaxOutlook) {
    return outlook;
  }
  for (const json& number : *found) {
    if (!number.is_number_integer()) {
      return {};
    }
    outlook.push_back(number.get<std::int64_t>());
  }
  return outlook;
}

absl::StatusOr<EngineLoadNote> LoadFrom(const json& value,
                                        std::string_view host) {
  const absl::StatusOr<std::string> engine = StringField(value, "engine");
  if (!engine.ok()) {
    return engine.status();
  }
  const absl::StatusOr<std::int64_t> in_flight =
      NotNegative(value, "in_flight");
  if (!in_flight.ok()) {
    return in_flight.status();
  }
  EngineLoadNote note;
  note.engine = *engine;
  note.host = std::string(host);
  note.in_flight = *in_flight;
  note.reserved_tokens = IntOr(value, "reserved_tokens", 0);
  note.as_of_unix_ms = IntOr(value, "as_of_unix_ms", 0);
  note.held_tokens = IntOr(value, "held_tokens", 0);
  note.outlook = OutlookFrom(value);
  return note;
}

absl::StatusOr<ExchangeMessage> MessageFrom(const json& value) {
  ExchangeMessage message;
  const absl::StatusOr<std::string> from = StringField(value, "from");
  if (!from.ok()) {
    return from.status();
  }
  message.from = *from;
  message.incarnation = IntOr(value, "incarnation", 0);
  const absl::StatusOr<const json*> views = ListField(value, "views");
  const absl::StatusOr<const json*> loads = ListField(value, "loads");
  if (!views.ok() || !loads.ok()) {
    return views.ok() ? loads.status() : views.status();
  }
  for (const json& part : *views == nullptr ? json::array() : **views) {
    absl::StatusOr<KindUpdate> view = ViewFrom(part);
    if (!view.ok()) {
      return view.status();
    }
    message.views.push_back(std::move(*view));
  }
  for (const json& part : *loads == nullptr ? json::array() : **loads) {
    absl::StatusOr<EngineLoadNote> note = LoadFrom(part, message.from);
    if (!note.ok()) {
      return note.status();
    }
    message.loads.push_back(std::move(*note));
  }
  return message;
}

}  // namespace

std::string EncodeExchange(const ExchangeMessage& message) {
  json value = {{"from", message.from}, {"incarnation", message.incarnation}};
  json& views = value["views"] = json::array();
  for (const KindUpdate& view : message.views) {
    views.push_back(ViewJson(view));
  }
  if (!message.loads.empty()) {
    json& loads = value["loads"] = json::array();
    for (const EngineLoadNote& note : message.loads) {
      loads.push_back(LoadJson(note));
    }
  }
  return Dump(value);
}

absl::StatusOr<ExchangeMessage> DecodeExchange(std::string_view text,
                                               std::string_view peer) {
  const absl::StatusOr<json> value = ParseObject(text, kDecodeStep, peer);
  if (!value.ok()) {
    return value.status();
  }
  absl::StatusOr<ExchangeMessage> message = MessageFrom(*value);
  if (!message.ok()) {
    return WithPeer(message.status(), peer);
  }
  return message;
}

std::string EncodeOffer(std::span<const StoredObject> items) {
  return Dump({{"items", ItemsJson(items, "")}});
}

absl::StatusOr<std::vector<StoredObject>> DecodeOffer(std::string_view text) {
  const absl::StatusOr<json> value = ParseObject(text, kDecodeStep, "");
  if (!value.ok()) {
    return value.status();
  }
  const absl::StatusOr<const json*> items = ListField(*value, "items");
  if (!items.ok()) {
    return items.status();
  }
  if (*items == nullptr) {
    return Invalid("items", "is missing");
  }
  return ItemsFrom(**items, "");
}

std::string EncodeTaken(int taken) { return Dump({{"taken", taken}}); }

}  // namespace meadowthread
