#ifndef MEADOWTHREAD_EXCHANGE_VERSION_MESSAGES_H_
#define MEADOWTHREAD_EXCHANGE_VERSION_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "store/object_store.h"

namespace meadowthread {

/// @brief What a host knows of one kind of object, in a few bytes.
struct KindDigest {
  std::string kind;
  std::int64_t revision = 0;           ///< everything up to it is known
  std::int64_t confirmed_unix_ms = 0;  ///< the platform was read at this time
  std::string confirmed_by;            ///< by this host; empty: by nobody yet
  /// Stands for the objects known beyond `revision`; 0: none are.
  std::uint64_t beyond = 0;

  friend bool operator==(const KindDigest&, const KindDigest&) = default;
};

/// @brief What one host knows of a kind beyond a revision.
struct KindDelta {
  std::string kind;
  std::int64_t since = 0;  ///< the revision it starts from
  /// Items are whole from `since` up to here; those above it are extra.
  std::int64_t revision = 0;
  /// Items are all live objects up to `revision`: what the receiver holds
  /// beyond them was deleted.
  bool full = false;
  bool cut = false;  ///< more is known; the byte limit cut it off
  std::int64_t confirmed_unix_ms = 0;
  std::string confirmed_by;
  std::vector<StoredObject> items;  ///< ascending versions
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_VERSION_MESSAGES_H_
