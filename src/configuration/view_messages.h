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
/// Marks of availability zones, keyed by zone name.
inline constexpr std::string_view kEmptiedZonesKind = "emptied-zones";

/// @brief Records when, and by which host, the object store was last read.
struct Confirmation {
  std::int64_t unix_ms = 0;  ///< the read reflects this time or a later one
  std::string by;            ///< the host that read; empty: none yet

  friend bool operator==(const Confirmation&, const Confirmation&) = default;
};

/// @brief Compact summary of a host's replica of a kind, for anti-entropy.
struct ViewDigest {
  std::string kind;
  std::int64_t revision = 0;  ///< the watermark: everything up to it is known
  Confirmation confirmed;     ///< of a read at the watermark
};

/// @brief The changes of a kind that one host knows beyond another's watermark.
struct ViewDelta {
  std::string kind;
  std::int64_t since = 0;  ///< the requester's watermark
  /// Items include every change after `since` up to here. Items above it may
  /// have gaps.
  std::int64_t revision = 0;
  /// Items are all live objects up to `revision`, not only those changed after
  /// `since`. Any other object that the receiver holds was deleted.
  bool full = false;
  bool cut = false;  ///< truncated at the byte limit; there are more items
  Confirmation confirmed;  ///< unset if the truncation lowered `revision`
  std::vector<StoredObject> items;  ///< by ascending version
};

/// @brief Passed to the listeners of a view.
struct ViewChange {
  std::string_view kind;
  std::span<const StoredObject> items;  ///< changed objects, including removals
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_VIEW_MESSAGES_H_
