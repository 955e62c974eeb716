#include "placement/document_fields.h"

#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/json_fields.h"

namespace meadowthread::detail {

absl::Status BadField(std::string_view step, std::string_view field,
                      std::string_view why) {
  ErrorDetail error;
  error.id = ErrorId::kFieldInvalid;
  error.step = std::string(step);
  error.field = std::string(field);
  return MakeError(
      absl::StatusCode::kInvalidArgument, error,
      absl::StrCat("field '", std::string(field), "' ", std::string(why)));
}

std::string FieldReader::String(std::string_view field) {
  const absl::StatusOr<std::string> value = StringField(this->object, field);
  if (!value.ok()) {
    this->status.Update(value.status());
    return "";
  }
  return *value;
}

std::int64_t FieldReader::Int(std::string_view field, std::int64_t low,
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

void FieldReader::Fail(std::string_view field, std::string_view why) {
  this->status.Update(BadField(this->step, field, why));
}

}  // namespace meadowthread::detail
