#ifndef MEADOWTHREAD_EXCHANGE_PATCH_HISTORY_H_
#define MEADOWTHREAD_EXCHANGE_PATCH_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "configuration/view_messages.h"
#include "nlohmann/json.hpp"

namespace meadowthread {

/// @brief The change of one object from a version to a later one.
struct ObjectPatch {
  std::string kind;
  std::string name;
  std::int64_t from = 0;  ///< version that the patch applies to
  std::int64_t to = 0;    ///< version that it leads to
  std::string bytes;      ///< see MakePatch
};

/// @brief Payload of a patch in a message: an array of its fields.
nlohmann::json ToJson(const ObjectPatch& patch);

/// @brief Decodes a patch; returns an error for a malformed payload.
absl::StatusOr<ObjectPatch> ObjectPatchFrom(const nlohmann::json& payload);

/// @brief The last versions of long objects, and the patches between them.
class PatchHistory {
 public:
  /// Maximum number of patches kept for one object.
  static constexpr std::size_t kMaxPatches = 16;

  /// @brief Records an object's present version.
  /// @return the patch from the version before, or null if there is none, or if
  /// it is longer than `max_bytes`; valid until the next call
  /// @complexity O(object)
  const ObjectPatch* Advance(const StoredObject& object, std::size_t max_bytes);

  /// @brief Records an object's present version that a received patch led to.
  void Advance(const StoredObject& object, const ObjectPatch& received);

  /// @brief Whether an earlier version of an object is known.
  bool Contains(std::string_view kind, std::string_view name) const;

  /// @brief Drops an object that was deleted.
  void Forget(std::string_view kind, std::string_view name);

  /// @brief Patches that lead from a version to the present one, in order of
  /// application; empty if that version is not known any more.
  /// @complexity O(kMaxPatches)
  std::vector<ObjectPatch> Since(std::string_view kind, std::string_view name,
                                 std::int64_t version) const;

 private:
  struct Entry {
    std::int64_t version = 0;
    std::string value;
    std::deque<ObjectPatch> patches;  ///< each begins where the last one ends
  };

  Entry& EntryOf(const StoredObject& object);
  static void Append(const ObjectPatch& patch, Entry* entry);

  std::map<std::pair<std::string, std::string>, Entry> entries;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_PATCH_HISTORY_H_
