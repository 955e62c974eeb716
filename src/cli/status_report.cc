#include "cli/status_report.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "base/json_fields.h"
#include "cli/text_table.h"

namespace meadowthread {
namespace {

using nlohmann::ordered_json;

std::string_view SourceName(StatusSource source) {
  switch (source) {
    case StatusSource::kHost:
      return "host";
    case StatusSource::kObject:
      return "status_object";
    case StatusSource::kNone:
      break;
  }
  return "none";
}

std::vector<std::string> Strings(const nlohmann::json& object,
                                 const char* field) {
  std::vector<std::string> strings;
  const auto found = object.find(field);
  if (found == object.end() || !found->is_array()) {
    return strings;
  }
  for (const nlohmann::json& item : *found) {
    strings.push_back(item.is_string() ? item.get<std::string>() : item.dump());
  }
  return strings;
}

/// A field as text; the incarnation may be a number or a string.
std::string TextOf(const nlohmann::json& object, const char* field) {
  const auto found = object.find(field);
  if (found == object.end()) {
    return "";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

const StoredObject* FindObject(std::span<const StoredObject> objects,
                               std::string_view name) {
  const auto found = std::find_if(
      objects.begin(), objects.end(),
      [name](const StoredObject& object) { return object.name == name; });
  return found == objects.end() ? nullptr : &*found;
}

/// Fills a row from the host's status object, the only source for a host that
/// does not answer.
void FillFromObject(const StoredObject* object, StatusRow* row) {
  if (object == nullptr) {
    return;
  }
  const auto status = ParseHostStatus(object->name, object->value);
  if (status.ok()) {
    row->status = *status;
    row->source = StatusSource::kObject;
  }
}

StatusRow RowOf(const HostEntry& host, const HostReply& reply,
                std::span<const StoredObject> objects) {
  StatusRow row;
  row.status.host = host.name;
  row.zone = host.zone;
  row.listed = host.leaving ? "leaving" : "live";
  absl::Status failure = reply.body.status();
  if (reply.body.ok()) {
    const auto status = ParseHostStatus(host.name, *reply.body);
    failure = status.status();
    if (status.ok()) {
      row.status = *status;
      row.source = StatusSource::kHost;
      return row;
    }
  }
  row.failure = "unreachable: " +
                std::string(failure.message().data(), failure.message().size());
  FillFromObject(FindObject(objects, host.name), &row);
  return row;
}

std::string OrDefault(const std::string& text, const char* fallback) {
  return text.empty() ? fallback : text;
}

std::vector<std::string> CellsOf(const StatusRow& row, std::int64_t now_ms) {
  const HostStatus& status = row.status;
  if (row.source == StatusSource::kNone) {
    return {status.host, OrDefault(row.zone, "-"),
            row.listed,  "-",
            "-",         "-",
            "-",         "-",
            "-",         "-",
            "-",         row.failure};
  }
  const std::string age =
      status.confirmed_unix_ms == 0
          ? "never"
          : absl::StrCat(now_ms - status.confirmed_unix_ms, " ms");
  return {status.host,
          OrDefault(row.zone, "-"),
          row.listed,
          OrDefault(status.mark, "live"),
          status.ready ? "yes" : "no",
          absl::StrCat(status.configuration_revision),
          age,
          absl::StrCat(status.streams),
          absl::StrCat(status.queued),
          absl::StrCat(status.engines),
          OrDefault(absl::StrJoin(status.stop_waits_for, ","), "-"),
          row.source == StatusSource::kObject
              ? row.failure + " (from its status object)"
              : "answered"};
}

ordered_json RowJson(const StatusRow& row) {
  const HostStatus& status = row.status;
  return {{"host", status.host},
          {"zone", row.zone},
          {"listed", row.listed},
          {"source", std::string(SourceName(row.source))},
          {"trouble", row.failure},
          {"incarnation", status.incarnation},
          {"ready", status.ready},
          {"mark", status.mark},
          {"configuration_revision", status.configuration_revision},
          {"confirmed_unix_ms", status.confirmed_unix_ms},
          {"confirmed_by", status.confirmed_by},
          {"streams", status.streams},
          {"queued", status.queued},
          {"engines", status.engines},
          {"stop_waits_for", status.stop_waits_for}};
}

}  // namespace

absl::StatusOr<HostStatus> ParseHostStatus(std::string_view host,
                                           std::string_view text) {
  const absl::StatusOr<nlohmann::json> object =
      ParseObject(text, "statusz", host);
  if (!object.ok()) {
    return object.status();
  }
  HostStatus status;
  status.host = std::string(host);
  status.incarnation = TextOf(*object, "incarnation");
  status.ready = BoolOr(*object, "ready", false);
  status.configuration_revision = IntOr(*object, "configuration_revision", 0);
  status.confirmed_unix_ms = IntOr(*object, "confirmed_unix_ms", 0);
  status.confirmed_by = StringOr(*object, "confirmed_by", "");
  status.streams = IntOr(*object, "streams", 0);
  status.queued = IntOr(*object, "queued", 0);
  status.engines = IntOr(*object, "engines", 0);
  status.mark = StringOr(*object, "mark", "");
  status.stop_waits_for = Strings(*object, "stop_waits_for");
  return status;
}

StatusReport JoinStatuses(std::span<const HostEntry> hosts,
                          std::span<const HostReply> replies,
                          std::span<const StoredObject> objects,
                          std::int64_t now_unix_ms) {
  StatusReport report;
  report.now_unix_ms = now_unix_ms;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    report.rows.push_back(RowOf(hosts[i], replies[i], objects));
  }
  for (const StoredObject& object : objects) {
    const bool listed = std::any_of(
        hosts.begin(), hosts.end(),
        [&object](const HostEntry& host) { return host.name == object.name; });
    if (!listed) {
      StatusRow row;
      row.status.host = object.name;
      row.listed = "not_listed";
      row.failure = "not asked: not in the host list";
      FillFromObject(&object, &row);
      report.rows.push_back(row);
    }
  }
  std::sort(report.rows.begin(), report.rows.end(),
            [](const StatusRow& left, const StatusRow& right) {
              return left.status.host < right.status.host;
            });
  return report;
}

std::string StatusReport::Text() const {
  TextTable table({"HOST", "ZONE", "LISTED", "MARK", "READY", "CONFIGURATION",
                   "CONFIRMED", "STREAMS", "QUEUED", "ENGINES",
                   "STOP WAITS FOR", "ANSWER"});
  for (const StatusRow& row : this->rows) {
    table.Add(CellsOf(row, this->now_unix_ms));
  }
  std::string text = table.Text();
  for (const std::string& note : this->notes) {
    absl::StrAppend(&text, "note: ", note, "\n");
  }
  return text;
}

ordered_json StatusReport::Json() const {
  ordered_json json;
  json["now_unix_ms"] = this->now_unix_ms;
  json["hosts"] = ordered_json::array();
  for (const StatusRow& row : this->rows) {
    json["hosts"].push_back(RowJson(row));
  }
  json["notes"] = this->notes;
  return json;
}

}  // namespace meadowthread
