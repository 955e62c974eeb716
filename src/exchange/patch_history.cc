#include "exchange/patch_history.h"

#include <algorithm>

#include "base/error.h"
#include "configuration/value_patch.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr std::size_t kPatchFields = 5;

}  // namespace

json ToJson(const ObjectPatch& patch) {
  return json::array({patch.kind, patch.name, patch.from, patch.to,
                      json::binary({patch.bytes.begin(), patch.bytes.end()})});
}

absl::StatusOr<ObjectPatch> ObjectPatchFrom(const json& payload) {
  const bool fits = payload.is_array() && payload.size() == kPatchFields &&
                    payload[0].is_string() && payload[1].is_string() &&
                    payload[2].is_number_integer() &&
                    payload[3].is_number_integer() && payload[4].is_binary();
  if (!fits) {
    ErrorDetail detail;
    detail.id = ErrorId::kPeerMalformed;
    detail.step = "read-patch";
    return MakeError(absl::StatusCode::kInvalidArgument, detail,
                     "not a patch of an object");
  }
  ObjectPatch patch;
  patch.kind = payload[0].get<std::string>();
  patch.name = payload[1].get<std::string>();
  patch.from = payload[2].get<std::int64_t>();
  patch.to = payload[3].get<std::int64_t>();
  const json::binary_t& bytes = payload[4].get_binary();
  patch.bytes.assign(bytes.begin(), bytes.end());
  return patch;
}

PatchHistory::Entry& PatchHistory::EntryOf(const StoredObject& object) {
  return this->entries[{object.kind, object.name}];
}

void PatchHistory::Append(const ObjectPatch& patch, Entry* entry) {
  if (entry->version != patch.from) {
    entry->patches.clear();
  }
  entry->patches.push_back(patch);
  if (entry->patches.size() > kMaxPatches) {
    entry->patches.pop_front();
  }
}

const ObjectPatch* PatchHistory::Advance(const StoredObject& object,
                                         std::size_t max_bytes) {
  Entry& entry = this->EntryOf(object);
  ObjectPatch patch = {
      object.kind, object.name, entry.version, object.version, {}};
  if (entry.version > 0) {
    patch.bytes = MakePatch(entry.value, object.value);
  }
  const bool is_short = !patch.bytes.empty() && patch.bytes.size() <= max_bytes;
  if (is_short) {
    Append(patch, &entry);
  } else {
    entry.patches.clear();
  }
  entry.version = object.version;
  entry.value = object.value;
  return is_short ? &entry.patches.back() : nullptr;
}

void PatchHistory::Advance(const StoredObject& object,
                           const ObjectPatch& received) {
  Entry& entry = this->EntryOf(object);
  Append(received, &entry);
  entry.version = object.version;
  entry.value = object.value;
}

bool PatchHistory::Contains(std::string_view kind,
                            std::string_view name) const {
  return this->entries.contains({std::string(kind), std::string(name)});
}

void PatchHistory::Forget(std::string_view kind, std::string_view name) {
  this->entries.erase({std::string(kind), std::string(name)});
}

std::vector<ObjectPatch> PatchHistory::Since(std::string_view kind,
                                             std::string_view name,
                                             std::int64_t version) const {
  const auto entry = this->entries.find({std::string(kind), std::string(name)});
  if (entry == this->entries.end()) {
    return {};
  }
  const std::deque<ObjectPatch>& patches = entry->second.patches;
  const auto first = std::find_if(
      patches.begin(), patches.end(),
      [version](const ObjectPatch& patch) { return patch.from == version; });
  return {first, patches.end()};
}

}  // namespace meadowthread
