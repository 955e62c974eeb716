#ifndef MEADOWTHREAD_CONFIGURATION_VIEW_MESSAGES_H_
#define MEADOWTHREAD_CONFIGURATION_VIEW_MESSAGES_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "store/object_store.h"

namespace meadowthread {

/// @brief The kinds that every host replicates.
inline constexpr std::string_view kTemplatesKind = "templates";
inline constexpr std::string_view kMarksKind = "marks";
/// Marks of availability zones, by their names.
inline constexpr std::string_view kEmptiedZonesKind = "emptied-zones";

/// @brief That the platform was read, when and by whom.
struct Confirmation {
  std::int64_t unix_ms = 0;  ///< the read reflects this time or a later one
  std::string by;            ///< the host that read; empty: nobody has yet

  friend bool operator==(const Confirmation&, const Confirmation&) = default;
};

/// @brief What a host knows of a kind, in a few bytes.
struct ViewDigest {
  std::string kind;
  std::int64_t revision = 0;  ///< the watermark: everything up to it is known
  Confirmation confirmed;     ///< of a read at that watermark
};

/// @brief What one host knows of a kind beyond another's watermark.
struct ViewDelta {
  std::string kind;
  std::int64_t since = 0;  ///< the asker's watermark when it asked
  /// Items are whole from `since` up to here; items above it are extra.
  std::int64_t revision = 0;
  /// Items are all live objects up to `revision`, not just those changed after
  /// `since`: what the receiver holds beyond them was deleted.
  bool full = false;
  bool cut = false;        ///< more is known: the byte limit cut it off
  Confirmation confirmed;  ///< unset where the byte limit cut the delta
  std::vector<StoredObject> items;  ///< ascending versions
};

/// @brief Told to listeners of a view.
struct ViewChange {
  std::string_view kind;
  std::span<const StoredObject> items;  ///< what changed; removals too
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_VIEW_MESSAGES_H_
