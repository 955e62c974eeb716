#include "configuration/marks.h"

#include <array>

#include "base/error.h"
#include "base/json_fields.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 3> kMarkNames = {"live", "leaving",
                                                        "stopping"};

MarkDocument ReadMark(const StoredObject& object) {
  absl::StatusOr<MarkDocument> document = MarkFromJson(object.value);
  if (document.ok()) {
    document->host = object.name;
    return *std::move(document);
  }
  MarkDocument unreadable;
  unreadable.host = object.name;
  unreadable.mark = HostMark::kLeaving;
  return unreadable;
}

}  // namespace

std::string_view HostMarkName(HostMark mark) {
  return kMarkNames[static_cast<std::size_t>(mark)];
}

absl::StatusOr<HostMark> ParseHostMark(std::string_view text) {
  for (std::size_t i = 0; i < kMarkNames.size(); ++i) {
    if (kMarkNames[i] == text) {
      return static_cast<HostMark>(i);
    }
  }
  ErrorDetail detail;
  detail.id = ErrorId::kFieldInvalid;
  detail.step = "parse";
  detail.field = "mark";
  return MakeError(absl::StatusCode::kInvalidArgument, detail,
                   "a mark is one of live, leaving, stopping");
}

std::string MarkToJson(const MarkDocument& document) {
  const json value = {
      {"host", document.host},         {"mark", HostMarkName(document.mark)},
      {"handover", document.handover}, {"operation", document.operation},
      {"set_by", document.set_by},     {"unix_ms", document.unix_ms}};
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<MarkDocument> MarkFromJson(std::string_view text) {
  const absl::StatusOr<json> value = ParseObject(text, "parse", "marks");
  if (!value.ok()) {
    return value.status();
  }
  const absl::StatusOr<std::string> name = StringField(*value, "mark");
  if (!name.ok()) {
    return name.status();
  }
  const absl::StatusOr<HostMark> mark = ParseHostMark(*name);
  if (!mark.ok()) {
    return mark.status();
  }
  MarkDocument document;
  document.host = StringOr(*value, "host", "");
  document.mark = *mark;
  document.handover = BoolOr(*value, "handover", false);
  document.operation = StringOr(*value, "operation", "");
  document.set_by = StringOr(*value, "set_by", "");
  document.unix_ms = IntOr(*value, "unix_ms", 0);
  return document;
}

MarkDocument Marks::MarkOf(std::string_view host) const {
  const StoredObject* object = this->view.Find(this->kind, host);
  if (object != nullptr) {
    return ReadMark(*object);
  }
  MarkDocument live;
  live.host = std::string(host);
  return live;
}

std::vector<MarkDocument> Marks::NotLive() const {
  std::vector<MarkDocument> marked;
  for (const StoredObject* object : this->view.Live(this->kind)) {
    MarkDocument document = ReadMark(*object);
    if (document.mark != HostMark::kLive) {
      marked.push_back(std::move(document));
    }
  }
  return marked;
}

}  // namespace meadowthread
