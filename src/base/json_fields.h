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
/// @param[in] text the document
/// @param[in] step named in the error
/// @param[in] peer named in the error
/// @return the object, or kMalformedRequest
absl::StatusOr<nlohmann::json> ParseObject(std::string_view text,
                                           std::string_view step,
                                           std::string_view peer);

/// @brief An error about a field of a request: not run, step "parse".
/// @param[in] what follows the field's name, such as "is missing"
absl::Status FieldError(ErrorId id, std::string_view field,
                        std::string_view what);

/// @brief A string field; an error names it where it is missing or no string.
absl::StatusOr<std::string> StringField(const nlohmann::json& object,
                                        std::string_view field);

/// @brief An integer field; an error names it where missing or no integer.
absl::StatusOr<std::int64_t> IntField(const nlohmann::json& object,
                                      std::string_view field);

/// @brief A string field, or `fallback` where it is missing or no string.
std::string StringOr(const nlohmann::json& object, std::string_view field,
                     std::string_view fallback);

/// @brief A boolean field, or `fallback` where it is missing or no boolean.
bool BoolOr(const nlohmann::json& object, std::string_view field,
            bool fallback);

/// @brief An integer field, or `fallback` where it is missing or no integer.
std::int64_t IntOr(const nlohmann::json& object, std::string_view field,
                   std::int64_t fallback);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_BASE_JSON_FIELDS_H_
