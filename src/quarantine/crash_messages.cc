#include "quarantine/crash_messages.h"

#include <algorithm>

#include "base/error.h"
#include "base/json_fields.h"
#include "quarantine/content_key.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr std::string_view kStep = "read-crash-record";
constexpr char kWorkspace[] = "workspace";
constexpr char kContent[] = "content";
constexpr char kRoute[] = "route";
constexpr char kRequest[] = "request";
constexpr char kCrashesField[] = "ends";
constexpr char kCleared[] = "cleared_unix_ms";
constexpr char kKept[] = "kept_unix_ms";
constexpr char kServer[] = "server";
constexpr char kBeforeAnyAnswer[] = "before_any_answer";
constexpr char kCrashTimeField[] = "at_unix_ms";
// The next two are left out of records and crashes that they don't concern;
// hosts of earlier versions don't know them.
constexpr char kPart[] = "part";
constexpr char kRanBefore[] = "ran_before";
// Limit on each text of a received record: longer than any id or route that a
// host writes.
constexpr std::size_t kMaxTextBytes = 1'024;
// Limit on the crashes in a received record: twice the number that a host keeps
// per content.
constexpr std::size_t kMaxCrashes = 32;
// Latest time accepted in a received record. It is in the year 2286, later than
// even a clock that is set wrong is likely to show.
constexpr std::int64_t kMaxUnixMs = 10'000'000'000'000;

absl::Status MalformedField(std::string_view field) {
  ErrorDetail detail;
  detail.id = ErrorId::kPeerMalformed;
  detail.step = std::string(kStep);
  detail.field = std::string(field);
  return MakeError(absl::StatusCode::kInvalidArgument, detail,
                   "malformed crash record");
}

bool ReadText(const json& from, const char* field, std::string* text) {
  const auto found = from.find(field);
  if (found == from.end() || !found->is_string()) {
    return false;
  }
  *text = found->get<std::string>();
  return text->size() <= kMaxTextBytes;
}

bool ReadTime(const json& from, const char* field, std::int64_t* unix_ms) {
  const auto found = from.find(field);
  if (found == from.end() || !found->is_number_integer()) {
    return false;
  }
  *unix_ms = found->get<std::int64_t>();
  return *unix_ms >= 0 && *unix_ms <= kMaxUnixMs;
}

bool ReadCrash(const json& value, ServerCrash* crash) {
  if (!value.is_object()) {
    return false;
  }
  const auto before = value.find(kBeforeAnyAnswer);
  if (before == value.end() || !before->is_boolean()) {
    return false;
  }
  crash->before_any_answer = before->get<bool>();
  const auto ran_before = value.find(kRanBefore);
  if (ran_before != value.end()) {
    if (!ran_before->is_boolean()) {
      return false;
    }
    crash->ran_before = ran_before->get<bool>();
  }
  return ReadText(value, kServer, &crash->server) &&
         ReadTime(value, kCrashTimeField, &crash->unix_ms);
}

bool ReadCrashes(const json& value, std::vector<ServerCrash>* crashes) {
  const auto found = value.find(kCrashesField);
  if (found == value.end() || !found->is_array() ||
      found->size() > kMaxCrashes) {
    return false;
  }
  return std::all_of(found->begin(), found->end(), [crashes](const json& item) {
    crashes->emplace_back();
    return ReadCrash(item, &crashes->back());
  });
}

}  // namespace

json CrashRecordJson(const CrashRecord& record) {
  json crashes = json::array();
  for (const ServerCrash& crash : record.crashes) {
    crashes.push_back({{kServer, crash.server},
                       {kBeforeAnyAnswer, crash.before_any_answer},
                       {kCrashTimeField, crash.unix_ms}});
    if (crash.ran_before) {
      crashes.back()[kRanBefore] = true;
    }
  }
  json value = {{kWorkspace, record.id.workspace},
                {kContent, record.id.content},
                {kRoute, record.route},
                {kRequest, record.request},
                {kCrashesField, crashes},
                {kCleared, record.cleared_ms},
                {kKept, record.kept_ms}};
  if (!record.part.empty()) {
    value[kPart] = record.part;
  }
  return value;
}

absl::StatusOr<CrashRecord> CrashRecordFrom(const json& value) {
  if (!value.is_object()) {
    return MalformedField("");
  }
  CrashRecord record;
  if (!ReadText(value, kWorkspace, &record.id.workspace)) {
    return MalformedField(kWorkspace);
  }
  if (!ReadText(value, kContent, &record.id.content) ||
      !IsContentKey(record.id.content)) {
    return MalformedField(kContent);
  }
  if (value.contains(kPart) &&
      (!ReadText(value, kPart, &record.part) || !IsPartId(record.part))) {
    return MalformedField(kPart);
  }
  if (!ReadText(value, kRoute, &record.route)) {
    return MalformedField(kRoute);
  }
  if (!ReadText(value, kRequest, &record.request)) {
    return MalformedField(kRequest);
  }
  if (!ReadCrashes(value, &record.crashes)) {
    return MalformedField(kCrashesField);
  }
  if (!ReadTime(value, kCleared, &record.cleared_ms)) {
    return MalformedField(kCleared);
  }
  if (!ReadTime(value, kKept, &record.kept_ms)) {
    return MalformedField(kKept);
  }
  return record;
}

std::string EncodeCrashRecord(const CrashRecord& record) {
  return CrashRecordJson(record).dump(-1, ' ', false,
                                      json::error_handler_t::replace);
}

absl::StatusOr<CrashRecord> DecodeCrashRecord(std::string_view name,
                                              std::string_view value) {
  const absl::StatusOr<json> object = ParseObject(value, kStep, name);
  if (!object.ok()) {
    return object.status();
  }
  absl::StatusOr<CrashRecord> record = CrashRecordFrom(*object);
  if (record.ok() && record->id.content != name) {
    return MalformedField(kContent);
  }
  return record;
}

}  // namespace meadowthread
