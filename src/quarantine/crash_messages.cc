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
constexpr char kEnds[] = "ends";
constexpr char kCleared[] = "cleared_unix_ms";
constexpr char kKept[] = "kept_unix_ms";
constexpr char kServer[] = "server";
constexpr char kBeforeAnswer[] = "before_any_answer";
constexpr char kAt[] = "at_unix_ms";
// Names are shorter than this; what is longer is none of ours.
constexpr std::size_t kMostNameBytes = 1'024;
// Twice what a host keeps of one content.
constexpr std::size_t kMostEnds = 32;
// The year 2286, far beyond any clock that is only wrong.
constexpr std::int64_t kMostUnixMs = 10'000'000'000'000;

absl::Status Wrong(std::string_view field) {
  ErrorDetail detail;
  detail.id = ErrorId::kPeerMalformed;
  detail.step = std::string(kStep);
  detail.field = std::string(field);
  return MakeError(absl::StatusCode::kInvalidArgument, detail,
                   "not a record of servers that ended");
}

bool ReadText(const json& from, const char* field, std::string* text) {
  const auto found = from.find(field);
  if (found == from.end() || !found->is_string()) {
    return false;
  }
  *text = found->get<std::string>();
  return text->size() <= kMostNameBytes;
}

bool ReadTime(const json& from, const char* field, std::int64_t* unix_ms) {
  const auto found = from.find(field);
  if (found == from.end() || !found->is_number_integer()) {
    return false;
  }
  *unix_ms = found->get<std::int64_t>();
  return *unix_ms >= 0 && *unix_ms <= kMostUnixMs;
}

bool ReadEnd(const json& value, ServerEnd* end) {
  if (!value.is_object()) {
    return false;
  }
  const auto before = value.find(kBeforeAnswer);
  if (before == value.end() || !before->is_boolean()) {
    return false;
  }
  end->before_any_answer = before->get<bool>();
  return ReadText(value, kServer, &end->server) &&
         ReadTime(value, kAt, &end->unix_ms);
}

bool ReadEnds(const json& value, std::vector<ServerEnd>* ends) {
  const auto found = value.find(kEnds);
  if (found == value.end() || !found->is_array() || found->size() > kMostEnds) {
    return false;
  }
  return std::all_of(found->begin(), found->end(), [ends](const json& one) {
    ends->emplace_back();
    return ReadEnd(one, &ends->back());
  });
}

}  // namespace

json CrashRecordJson(const CrashRecord& record) {
  json ends = json::array();
  for (const ServerEnd& end : record.ends) {
    ends.push_back({{kServer, end.server},
                    {kBeforeAnswer, end.before_any_answer},
                    {kAt, end.unix_ms}});
  }
  return {{kWorkspace, record.id.workspace},
          {kContent, record.id.content},
          {kRoute, record.route},
          {kRequest, record.request},
          {kEnds, ends},
          {kCleared, record.cleared_ms},
          {kKept, record.kept_ms}};
}

absl::StatusOr<CrashRecord> CrashRecordFrom(const json& value) {
  if (!value.is_object()) {
    return Wrong("");
  }
  CrashRecord record;
  if (!ReadText(value, kWorkspace, &record.id.workspace)) {
    return Wrong(kWorkspace);
  }
  if (!ReadText(value, kContent, &record.id.content) ||
      !IsContentKey(record.id.content)) {
    return Wrong(kContent);
  }
  if (!ReadText(value, kRoute, &record.route)) {
    return Wrong(kRoute);
  }
  if (!ReadText(value, kRequest, &record.request)) {
    return Wrong(kRequest);
  }
  if (!ReadEnds(value, &record.ends)) {
    return Wrong(kEnds);
  }
  if (!ReadTime(value, kCleared, &record.cleared_ms)) {
    return Wrong(kCleared);
  }
  if (!ReadTime(value, kKept, &record.kept_ms)) {
    return Wrong(kKept);
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
    return Wrong(kContent);
  }
  return record;
}

}  // namespace meadowthread
