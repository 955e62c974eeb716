#include "placement/ownership.h"

#include <limits>

#include "absl/strings/str_cat.h"
#include "base/json_fields.h"
#include "nlohmann/json.hpp"
#include "placement/json_field_reader.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr std::string_view kStep = "ownership.parse";
constexpr std::string_view kWorkspacePrefix = "workspace.";
constexpr std::string_view kEnginePrefix = "engine.";
constexpr std::string_view kOwnedName = "owned";
constexpr std::string_view kDrainingName = "draining";
constexpr std::int64_t kMaxEpoch = std::numeric_limits<std::int64_t>::max();

OwnershipState ReadState(detail::JsonFieldReader& reader) {
  const std::string name = reader.String("state");
  if (name != kOwnedName && name != kDrainingName) {
    reader.Fail("state", "is neither 'owned' nor 'draining'");
  }
  return name == kDrainingName ? OwnershipState::kDraining
                               : OwnershipState::kOwned;
}

void CheckConsistency(detail::JsonFieldReader& reader,
                      const OwnershipDocument& document) {
  if (document.owner.empty()) {
    reader.Fail("owner", "is empty");
  }
  const bool draining = document.state == OwnershipState::kDraining;
  if (draining && document.next_owner.empty()) {
    reader.Fail("next_owner", "is empty while draining");
  }
  if (draining && document.next_owner == document.owner) {
    reader.Fail("next_owner", "is the owner itself");
  }
}

}  // namespace

std::string OwnershipObjectName(const OwnedId& id) {
  return absl::StrCat(
      std::string(id.kind == OwnedKind::kWorkspace ? kWorkspacePrefix
                                                   : kEnginePrefix),
      id.name);
}

std::optional<OwnedId> ParseOwnershipObjectName(std::string_view name) {
  if (name.starts_with(kWorkspacePrefix)) {
    name.remove_prefix(kWorkspacePrefix.size());
    return OwnedId{OwnedKind::kWorkspace, std::string(name)};
  }
  if (name.starts_with(kEnginePrefix)) {
    name.remove_prefix(kEnginePrefix.size());
    return OwnedId{OwnedKind::kEngine, std::string(name)};
  }
  return std::nullopt;
}

std::string EncodeOwnership(const OwnershipDocument& document) {
  const bool draining = document.state == OwnershipState::kDraining;
  const json value = {
      {"owner", document.owner},
      {"address", document.address},
      {"epoch", document.epoch},
      {"state", draining ? kDrainingName : kOwnedName},
      {"next_owner", document.next_owner},
      {"next_address", document.next_address},
      {"operation", document.operation},
  };
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<OwnershipDocument> ParseOwnership(std::string_view text) {
  const absl::StatusOr<json> object = ParseObject(text, kStep, kOwnershipKind);
  if (!object.ok()) {
    return object.status();
  }
  detail::JsonFieldReader reader(*object, kStep);
  OwnershipDocument document;
  document.owner = reader.String("owner");
  document.epoch = reader.Int("epoch", 1, kMaxEpoch);
  document.state = ReadState(reader);
  document.address = StringOr(*object, "address", "");
  document.next_owner = StringOr(*object, "next_owner", "");
  document.next_address = StringOr(*object, "next_address", "");
  document.operation = StringOr(*object, "operation", "");
  CheckConsistency(reader, document);
  if (!reader.Status().ok()) {
    return reader.Status();
  }
  return document;
}

}  // namespace meadowthread
