#ifndef MEADOWTHREAD_PLACEMENT_OWNERSHIP_H_
#define MEADOWTHREAD_PLACEMENT_OWNERSHIP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief The kind of ownership objects at the object API.
inline constexpr std::string_view kOwnershipKind = "ownership";

/// @brief What one half of the migration can own.
enum class OwnedKind { kWorkspace, kEngine };

/// @brief Names one workspace or engine.
struct OwnedId {
  OwnedKind kind = OwnedKind::kWorkspace;
  std::string name;

  friend bool operator==(const OwnedId&, const OwnedId&) = default;
  friend bool operator<(const OwnedId& one, const OwnedId& other) {
    return std::tie(one.kind, one.name) < std::tie(other.kind, other.name);
  }
};

/// @brief The steps of a hand-over.
enum class OwnershipState {
  kOwned,     ///< the owner acts
  kDraining,  ///< the owner takes nothing new; the next owner is named
};

/// @brief What `ownership/{kind}.{name}` holds.
struct OwnershipDocument {
  std::string owner;       ///< a half's name
  std::string address;     ///< where callers of the owner go
  std::int64_t epoch = 1;  ///< grows by one with every change of owner
  OwnershipState state = OwnershipState::kOwned;
  std::string next_owner;  ///< while draining
  std::string next_address;
  std::string operation;  ///< the move that wrote it

  friend bool operator==(const OwnershipDocument&,
                         const OwnershipDocument&) = default;
};

/// @brief "workspace.NAME" or "engine.NAME".
std::string OwnershipObjectName(const OwnedId& id);

/// @brief The inverse; nothing where the name is of neither form.
std::optional<OwnedId> ParseOwnershipObjectName(std::string_view name);

/// @brief The document as JSON text.
std::string EncodeOwnership(const OwnershipDocument& document);

/// @brief Parses a document; an error names the field at fault.
absl::StatusOr<OwnershipDocument> ParseOwnership(std::string_view text);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_PLACEMENT_OWNERSHIP_H_
