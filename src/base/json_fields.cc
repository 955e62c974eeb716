#include "base/json_fields.h"

#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/json_slices.h"

namespace meadowthread {
namespace {

using nlohmann::json;

const json* Find(const json& object, std::string_view field) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto found = object.find(std::string(field));
  return found == object.end() ? nullptr : &*found;
}

// An unsigned number beyond the range of int64 would be converted to a
// different value.
bool IsInt64(const json& value) {
  return value.is_number_integer() &&
         (!value.is_number_unsigned() ||
          value.get<std::uint64_t>() <=
              static_cast<std::uint64_t>(
                  std::numeric_limits<std::int64_t>::max()));
}

}  // namespace

absl::Status FieldError(ErrorId id, std::string_view field,
                        std::string_view what) {
  ErrorDetail detail;
  detail.id = id;
  detail.outcome = Outcome::kNotRun;
  detail.step = "parse";
  detail.field = std::string(field);
  return MakeError(
      absl::StatusCode::kInvalidArgument, detail,
      absl::StrCat("field '", std::string(field), "' ", std::string(what)));
}

absl::StatusOr<json> ParseObject(std::string_view text, std::string_view step,
                                 std::string_view peer) {
  const bool is_deep = ExceedsDepth(text, kMaxJsonDepth);
  json value = is_deep ? json() : json::parse(text, nullptr, false);
  if (value.is_object()) {
    return absl::StatusOr<json>(std::move(value));
  }
  ErrorDetail detail;
  detail.id = ErrorId::kMalformedRequest;
  detail.outcome = Outcome::kNotRun;
  detail.step = std::string(step);
  detail.peer = std::string(peer);
  return MakeError(absl::StatusCode::kInvalidArgument, detail,
                   is_deep ? "the body is nested too deeply"
                           : "the body is not a JSON object");
}

absl::StatusOr<std::string> StringField(const json& object,
                                        std::string_view field) {
  const json* value = Find(object, field);
  if (value == nullptr) {
    return FieldError(ErrorId::kFieldMissing, field, "is missing");
  }
  if (!value->is_string()) {
    return FieldError(ErrorId::kFieldInvalid, field, "is not a string");
  }
  return value->get<std::string>();
}

absl::StatusOr<std::int64_t> IntField(const json& object,
                                      std::string_view field) {
  const json* value = Find(object, field);
  if (value == nullptr) {
    return FieldError(ErrorId::kFieldMissing, field, "is missing");
  }
  if (!IsInt64(*value)) {
    return FieldError(ErrorId::kFieldInvalid, field, "is not an integer");
  }
  return value->get<std::int64_t>();
}

std::string StringOr(const json& object, std::string_view field,
                     std::string_view fallback) {
  const json* value = Find(object, field);
  return value != nullptr && value->is_string() ? value->get<std::string>()
                                                : std::string(fallback);
}

bool BoolOr(const json& object, std::string_view field, bool fallback) {
  const json* value = Find(object, field);
  return value != nullptr && value->is_boolean() ? value->get<bool>()
                                                 : fallback;
}

std::int64_t IntOr(const json& object, std::string_view field,
                   std::int64_t fallback) {
  const json* value = Find(object, field);
  return value != nullptr && IsInt64(*value) ? value->get<std::int64_t>()
                                             : fallback;
}

}  // namespace meadowthread
