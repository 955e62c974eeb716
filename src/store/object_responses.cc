#include "store/object_responses.h"

#include <charconv>
#include <optional>
#include <string>

#include "absl/strings/numbers.h"
#include "base/absl_view.h"
#include "base/json_fields.h"
#include "base/json_slices.h"
#include "net/http_code.h"
#include "store/store_errors.h"

namespace meadowthread {
namespace {

using nlohmann::json;

// The object API guarantees for these two statuses that the write was not
// applied.
bool IsDefiniteRefusal(int http_status) {
  return http_status == http_code::kTooManyRequests ||
         http_status == http_code::kUnavailable;
}

std::optional<std::int64_t> ParseVersion(std::string_view etag) {
  const bool is_quoted =
      etag.size() > 2 && etag.front() == '"' && etag.back() == '"';
  if (!is_quoted) {
    return std::nullopt;
  }
  const std::string_view digits = etag.substr(1, etag.size() - 2);
  std::int64_t version = 0;
  const char* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end || version <= 0) {
    return std::nullopt;
  }
  return version;
}

std::string PeerOf(std::string_view kind, std::string_view name) {
  return std::string(kind) + "/" + std::string(name);
}

// A failed read has no effect, so the error only tells a malformed response
// from an unavailable object API, which can be retried.
absl::Status ReadFailure(const FetchResult& fetched, std::string_view step,
                         std::string_view peer) {
  if (DetailOf(fetched.end.status).id == ErrorId::kPeerMalformed) {
    return StoreError(ErrorId::kStoreMalformed, step, peer);
  }
  return StoreError(ErrorId::kStoreUnavailable, step, peer);
}

bool IsWhole(const FetchResult& fetched, int http_status) {
  return fetched.end.status.ok() && fetched.end.http_status == http_status;
}

// Parses one item of a list. Its kind, name and version must be valid: an item
// of another kind, or one newer than the list's revision, would corrupt the
// views built from the list. A value that is not a string is returned as its
// JSON text, so that the reader of that kind can reject it.
std::optional<StoredObject> ItemFrom(std::string_view text,
                                     std::string_view kind,
                                     std::int64_t revision) {
  const absl::StatusOr<json> item = ParseObject(text, "list", kind);
  const absl::StatusOr<std::string> name =
      item.ok() ? StringField(*item, "name") : item.status();
  const bool is_valid =
      name.ok() && !name->empty() && StringOr(*item, "kind", "") == kind &&
      IntOr(*item, "version", 0) > 0 && IntOr(*item, "version", 0) <= revision;
  if (!is_valid) {
    return std::nullopt;
  }
  absl::StatusOr<StoredObject> object = ObjectFromJson(*item);
  if (object.ok()) {
    return *std::move(object);
  }
  return StoredObject{std::string(kind), *name, IntOr(*item, "version", 0),
                      std::string(JsonMemberText(text, "value")), false};
}

absl::StatusOr<ObjectList> ParseList(std::string_view body,
                                     std::string_view kind) {
  const auto items = JsonElements(JsonMemberText(body, "items"));
  ObjectList list;
  const bool is_list =
      absl::SimpleAtoi(AbslView(JsonMemberText(body, "revision")),
                       &list.revision) &&
      list.revision >= 0 && items.has_value();
  if (!is_list) {
    return absl::DataLossError(
        "the response is not a list with a revision and items");
  }
  for (const std::string_view text : *items) {
    std::optional<StoredObject> object = ItemFrom(text, kind, list.revision);
    if (object.has_value()) {
      list.items.push_back(*std::move(object));
    } else {
      ++list.passed_over;
    }
  }
  return list;
}

}  // namespace

absl::StatusOr<StoredObject> ParseGetResponse(const FetchResult& fetched,
                                              std::string_view kind,
                                              std::string_view name) {
  const std::string peer = PeerOf(kind, name);
  if (IsWhole(fetched, http_code::kNotFound)) {
    return StoreError(ErrorId::kNotFound, "get", peer);
  }
  if (!IsWhole(fetched, http_code::kOk)) {
    return ReadFailure(fetched, "get", peer);
  }
  const std::optional<std::int64_t> version =
      ParseVersion(FindHeader(fetched.response.headers, "ETag"));
  if (!version.has_value()) {
    return StoreError(ErrorId::kStoreMalformed, "get", peer);
  }
  StoredObject object;
  object.kind = std::string(kind);
  object.name = std::string(name);
  object.version = *version;
  object.value = fetched.response.body;
  return object;
}

absl::StatusOr<ObjectList> ParseListResponse(const FetchResult& fetched,
                                             std::string_view step,
                                             std::string_view kind) {
  if (IsWhole(fetched, http_code::kGone)) {
    return StoreError(ErrorId::kStoreRevisionGone, step, kind);
  }
  if (!IsWhole(fetched, http_code::kOk)) {
    return ReadFailure(fetched, step, kind);
  }
  absl::StatusOr<ObjectList> list = ParseList(fetched.response.body, kind);
  if (!list.ok()) {
    return StoreError(ErrorId::kStoreMalformed, step, kind);
  }
  return list;
}

absl::StatusOr<std::int64_t> ParseWriteResponse(const FetchResult& fetched,
                                                std::string_view step,
                                                std::string_view peer) {
  if (!fetched.end.request_may_have_left) {
    return StoreError(ErrorId::kStoreUnavailable, step, peer);
  }
  if (!fetched.end.status.ok()) {
    return StoreError(ErrorId::kStoreUnknown, step, peer);
  }
  const int http_status = fetched.end.http_status;
  if (IsDefiniteRefusal(http_status)) {
    return StoreError(ErrorId::kStoreUnavailable, step, peer);
  }
  if (http_status == http_code::kPreconditionFailed) {
    return StoreError(ErrorId::kStoreConflict, step, peer);
  }
  const std::optional<std::int64_t> version =
      ParseVersion(FindHeader(fetched.response.headers, "ETag"));
  if (http_status != http_code::kOk || !version.has_value()) {
    return StoreError(ErrorId::kStoreUnknown, step, peer);
  }
  return *version;
}

json ObjectToJson(const StoredObject& object) {
  return {{"kind", object.kind},
          {"name", object.name},
          {"version", object.version},
          {"value", object.value},
          {"deleted", object.deleted}};
}

absl::StatusOr<StoredObject> ObjectFromJson(const json& value) {
  const absl::StatusOr<std::string> kind = StringField(value, "kind");
  const absl::StatusOr<std::string> name = StringField(value, "name");
  const absl::StatusOr<std::int64_t> version = IntField(value, "version");
  for (const absl::Status& status :
       {kind.status(), name.status(), version.status()}) {
    if (!status.ok()) {
      return status;
    }
  }
  StoredObject object;
  object.kind = *kind;
  object.name = *name;
  object.version = *version;
  object.deleted = BoolOr(value, "deleted", false);
  if (object.deleted) {
    return object;
  }
  absl::StatusOr<std::string> text = StringField(value, "value");
  if (!text.ok()) {
    return text.status();
  }
  object.value = *std::move(text);
  return object;
}

}  // namespace meadowthread
