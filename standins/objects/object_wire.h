#ifndef MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_WIRE_H_
#define MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_WIRE_H_

#include <optional>
#include <string>

#include "http/http_message.h"
#include "objects/object_table.h"

namespace meadowthread::standins {

/// @brief The version in quotes.
std::string EntityTag(std::int64_t version);

/// @brief What `If-Match` or `If-None-Match: *` asks for; none where neither
/// is there or it cannot be read.
std::optional<Condition> ConditionOf(const Request& request);

/// @brief An object as the interface shows it.
nlohmann::json ObjectJson(const ObjectKey& key, const ObjectVersion& version);

/// @brief A list or a watch's answer.
nlohmann::json ListingJson(const ObjectListing& listing);

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_OBJECTS_OBJECT_WIRE_H_
