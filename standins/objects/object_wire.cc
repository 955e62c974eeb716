#include "objects/object_wire.h"

#include <charconv>

namespace meadowthread::standins {

std::string EntityTag(std::int64_t version) {
  return "\"" + std::to_string(version) + "\"";
}

std::optional<Condition> ConditionOf(const Request& request) {
  if (request.HeaderValue("If-None-Match") == "*") {
    return Condition{ConditionKind::kAbsent, 0};
  }
  const std::string_view tag = request.HeaderValue("If-Match");
  if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
    return std::nullopt;
  }
  Condition condition{ConditionKind::kVersion, 0};
  const char* end = tag.data() + tag.size() - 1;
  const auto parsed = std::from_chars(tag.data() + 1, end, condition.version);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return condition;
}

nlohmann::json ObjectJson(const ObjectKey& key, const ObjectVersion& version) {
  return {{"kind", key.kind},
          {"name", key.name},
          {"version", version.version},
          {"value", version.value},
          {"deleted", version.deleted}};
}

nlohmann::json ListingJson(const ObjectListing& listing) {
  nlohmann::json items = nlohmann::json::array();
  for (const ListedObject& item : listing.items) {
    items.push_back(ObjectJson(item.key, item.version));
  }
  return {{"revision", listing.revision}, {"items", std::move(items)}};
}

}  // namespace meadowthread::standins
