#include "configuration/template_object.h"

#include "base/json_fields.h"

namespace meadowthread {
namespace {

using nlohmann::json;

json EntryToJson(const TemplateEntry& entry) {
  return {{"operation", entry.operation},
          {"author", entry.author},
          {"unix_ms", entry.unix_ms},
          {"yaml", entry.yaml}};
}

absl::StatusOr<TemplateEntry> EntryFromJson(const json& value) {
  absl::StatusOr<std::string> yaml = StringField(value, "yaml");
  if (!yaml.ok()) {
    return yaml.status();
  }
  TemplateEntry entry;
  entry.yaml = *std::move(yaml);
  entry.operation = StringOr(value, "operation", "");
  entry.author = StringOr(value, "author", "");
  entry.unix_ms = IntOr(value, "unix_ms", 0);
  entry.version = IntOr(value, "version", 0);
  return entry;
}

}  // namespace

std::string TemplateToJson(const TemplateObject& object) {
  json value = EntryToJson(object.current);
  for (const TemplateEntry& entry : object.history) {
    json earlier = EntryToJson(entry);
    earlier["version"] = entry.version;
    value["history"].push_back(std::move(earlier));
  }
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<TemplateObject> TemplateFromJson(std::string_view value,
                                                std::int64_t version) {
  const absl::StatusOr<json> parsed = ParseObject(value, "parse", "templates");
  if (!parsed.ok()) {
    return parsed.status();
  }
  absl::StatusOr<TemplateEntry> current = EntryFromJson(*parsed);
  if (!current.ok()) {
    return current.status();
  }
  TemplateObject object;
  object.current = *std::move(current);
  object.current.version = version;
  const auto history = parsed->find("history");
  if (history == parsed->end() || !history->is_array()) {
    return object;
  }
  for (const json& item : *history) {
    // The history is optional, so an invalid entry is skipped.
    absl::StatusOr<TemplateEntry> entry = EntryFromJson(item);
    if (entry.ok()) {
      object.history.push_back(*std::move(entry));
    }
  }
  return object;
}

TemplateObject NextTemplateObject(const TemplateObject& stored,
                                  const TemplateEntry& next,
                                  std::size_t limit_bytes) {
  TemplateObject object;
  object.current = next;
  object.history.push_back(stored.current);
  object.history.insert(object.history.end(), stored.history.begin(),
                        stored.history.end());
  if (object.history.size() > kMaxHistory) {
    object.history.resize(kMaxHistory);
  }
  while (!object.history.empty() &&
         TemplateToJson(object).size() > limit_bytes) {
    object.history.pop_back();
  }
  return object;
}

StoredObject WithoutOldHistory(const StoredObject& object) {
  if (object.deleted) {
    return object;
  }
  absl::StatusOr<TemplateObject> read =
      TemplateFromJson(object.value, object.version);
  if (!read.ok() || read->history.size() <= kMaxReplicatedHistory) {
    return object;
  }
  read->history.resize(kMaxReplicatedHistory);
  StoredObject kept = object;
  kept.value = TemplateToJson(*read);
  return kept;
}

}  // namespace meadowthread
