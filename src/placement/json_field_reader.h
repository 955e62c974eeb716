#ifndef MEADOWTHREAD_PLACEMENT_JSON_FIELD_READER_H_
#define MEADOWTHREAD_PLACEMENT_JSON_FIELD_READER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "nlohmann/json.hpp"

namespace meadowthread::detail {

/// @brief The error for a field that is missing or has an invalid value.
absl::Status InvalidFieldError(std::string_view step, std::string_view field,
                               std::string_view reason);

/// @brief Reads the fields of a JSON object and keeps the first error, so that
/// the caller checks for errors once, after reading all fields.
class JsonFieldReader {
 public:
  /// @param[in] object outlives the reader
  /// @param[in] step names the operation in errors
  JsonFieldReader(const nlohmann::json& object, std::string_view step)
      : object(object), step(step) {}

  /// @brief A required string; "" on error.
  std::string String(std::string_view field);

  /// @brief A required integer in [low, high]; `low` on error.
  std::int64_t Int(std::string_view field, std::int64_t low, std::int64_t high);

  /// @brief Records an error that the caller found in a field.
  void Fail(std::string_view field, std::string_view reason);

  /// @brief OK, or the first error.
  const absl::Status& Status() const { return this->status; }

 private:
  const nlohmann::json& object;
  std::string step;
  absl::Status status;
};

}  // namespace meadowthread::detail

#endif  // MEADOWTHREAD_PLACEMENT_JSON_FIELD_READER_H_
