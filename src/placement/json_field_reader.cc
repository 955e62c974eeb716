#include "placement/json_field_reader.h"

#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/json_fields.h"

namespace meadowthread::detail {

absl::Status InvalidFieldError(std::string_view step, std::string_view field,
                               std::string_view reason) {
  ErrorDetail error;
  error.id = ErrorId::kFieldInvalid;
  error.step = std::string(step);
  error.field = std::string(field);
  return MakeError(
      absl::StatusCode::kInvalidArgument, error,
      absl::StrCat("field '", std::string(field), "' ", std::string(reason)));
}

std::string JsonFieldReader::String(std::string_view field) {
  const absl::StatusOr<std::string> value = StringField(this->object, field);
  if (!value.ok()) {
    this->status.Update(value.status());
    return "";
  }
  return *value;
}

std::int64_t JsonFieldReader::Int(std::string_view field, std::int64_t low,
                                  std::int64_t high) {
  const absl::StatusOr<std::int64_t> value = IntField(this->object, field);
  if (!value.ok()) {
    this->status.Update(value.status());
    return low;
  }
  if (*value < low || *value > high) {
    this->Fail(field, absl::StrCat("is not in ", low, "..", high));
    return low;
  }
  return *value;
}

void JsonFieldReader::Fail(std::string_view field, std::string_view reason) {
  this->status.Update(InvalidFieldError(this->step, field, reason));
}

}  // namespace meadowthread::detail
