#ifndef MEADOWTHREAD_BASE_JSON_FIELDS_H_
#define MEADOWTHREAD_BASE_JSON_FIELDS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/error.h"
#include "nlohmann/json.hpp"

namespace meadowthread {

/// @brief Parses a JSON object.
/// @param[in] text the JSON document
/// @param[in] step the step reported in the error
/// @param[in] peer the peer reported in the error
/// @return the object, or kMalformedRequest
absl::StatusOr<nlohmann::json> ParseObject(std::string_view text,
                                           std::string_view step,
                                           std::string_view peer);

/// @brief An error about a field of a request, with outcome kNotRun and step
/// "parse".
/// @param[in] what the text after the field's name, such as "is missing"
absl::Status FieldError(ErrorId id, std::string_view field,
                        std::string_view what);

/// @brief A string field; an error that names the field if it is missing or not
/// a string.
absl::StatusOr<std::string> StringField(const nlohmann::json& object,
                                        std::string_view field);

/// @brief An integer field; an error that names the field if it is missing or
/// not an integer.
absl::StatusOr<std::int64_t> IntField(const nlohmann::json& object,
                                      std::string_view field);

/// @brief A string field, or `fallback` if it is missing or not a string.
std::string StringOr(const nlohmann::json& object, std::string_view field,
                     std::string_view fallback);

/// @brief A boolean field, or `fallback` if it is missing or not a boolean.
bool BoolOr(const nlohmann::json& object, std::string_view field,
            bool fallback);

/// @brief An integer field, or `fallback` if it is missing or not an integer.
std::int64_t IntOr(const nlohmann::json& object, std::string_view field,
                   std::int64_t fallback);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_JSON_FIELDS_H_
