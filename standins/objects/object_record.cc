#include "objects/object_record.h"

namespace meadowthread::standins {
namespace {

// Beyond this total the record omits values; keys and versions are always kept.
constexpr std::size_t kMaxRecordedValueBytes = std::size_t{256} << 20;

}  // namespace

void ObjectRecord::Add(const ObjectWrite& write, std::int64_t version,
                       std::int64_t now_ms) {
  AppliedWrite applied{write.key, version, now_ms, write.removes, ""};
  if (this->value_bytes + write.value.size() <= kMaxRecordedValueBytes) {
    applied.value = write.value;
    this->value_bytes += write.value.size();
  }
  this->writes.push_back(applied);
}

nlohmann::json ObjectRecord::ToJson(std::string_view kind) const {
  nlohmann::json log = nlohmann::json::array();
  for (const AppliedWrite& write : this->writes) {
    if (!kind.empty() && write.key.kind != kind) {
      continue;
    }
    nlohmann::json entry = {{"kind", write.key.kind},
                            {"name", write.key.name},
                            {"version", write.version},
                            {"unix_ms", write.unix_ms},
                            {"deleted", write.deleted}};
    if (!kind.empty()) {
      entry["value"] = write.value;
    }
    log.push_back(std::move(entry));
  }
  const nlohmann::json counts = {{"get", this->calls.get},
                                 {"put", this->calls.put},
                                 {"delete", this->calls.remove},
                                 {"list", this->calls.list},
                                 {"watch", this->calls.watch},
                                 {"limited", this->calls.limited},
                                 {"unavailable", this->calls.unavailable},
                                 {"conflicts", this->calls.conflicts}};
  return {{"calls", counts}, {"writes", std::move(log)}};
}

}  // namespace meadowthread::standins
