#ifndef MEADOWTHREAD_PLACEMENT_OWNERSHIP_H_
#define MEADOWTHREAD_PLACEMENT_OWNERSHIP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief The kind of ownership objects in the object API.
inline constexpr std::string_view kOwnershipKind = "ownership";

/// @brief What a deployment can own.
///
/// During a migration two deployments of this system (`half` in the settings)
/// share the object store and the engines. Each workspace and each engine is
/// owned by one deployment at a time; only its hosts serve the workspace or use
/// the engine.
enum class OwnedKind { kWorkspace, kEngine };

/// @brief Identifies a workspace or an engine.
struct OwnedId {
  OwnedKind kind = OwnedKind::kWorkspace;
  std::string name;

  friend bool operator==(const OwnedId&, const OwnedId&) = default;
  friend bool operator<(const OwnedId& one, const OwnedId& other) {
    return std::tie(one.kind, one.name) < std::tie(other.kind, other.name);
  }
};

/// @brief The steps of moving something to another owner.
enum class OwnershipState {
  kOwned,     ///< the owner starts new work
  kDraining,  ///< the owner only finishes work in flight
};

/// @brief The content of an ownership object, `ownership/{kind}.{name}`.
struct OwnershipDocument {
  std::string owner;       ///< a deployment's name
  std::string address;     ///< URL at which callers reach the owner
  std::int64_t epoch = 1;  ///< incremented with every change of owner
  OwnershipState state = OwnershipState::kOwned;
  std::string next_owner;  ///< set while draining
  std::string next_address;
  std::string operation;  ///< id of the move that wrote the object

  friend bool operator==(const OwnershipDocument&,
                         const OwnershipDocument&) = default;
};

/// @brief "workspace.NAME" or "engine.NAME".
std::string OwnershipObjectName(const OwnedId& id);

/// @brief The inverse of OwnershipObjectName; nullopt for any other name.
std::optional<OwnedId> ParseOwnershipObjectName(std::string_view name);

/// @brief Encodes a document as JSON.
std::string EncodeOwnership(const OwnershipDocument& document);

/// @brief Parses a document; an error names the invalid field.
absl::StatusOr<OwnershipDocument> ParseOwnership(std::string_view text);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_OWNERSHIP_H_
