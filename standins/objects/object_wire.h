#ifndef MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_WIRE_H_
#define MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_WIRE_H_

#include <optional>
#include <string>

#include "http/http_message.h"
#include "objects/object_table.h"

namespace meadowthread::standins {

/// @brief The ETag of a version: the number in double quotes.
std::string EntityTag(std::int64_t version);

/// @brief The condition in `If-Match` or `If-None-Match: *`; none if both are
/// missing or malformed.
std::optional<Condition> ConditionOf(const Request& request);

/// @brief The JSON form of an object.
nlohmann::json ObjectJson(const ObjectKey& key, const ObjectVersion& version);

/// @brief The JSON body of a list or watch response.
nlohmann::json ListingJson(const ObjectListing& listing);

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_WIRE_H_
