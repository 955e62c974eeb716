#ifndef MEADOWTHREAD_EXCHANGE_KIND_DIGEST_H_
#define MEADOWTHREAD_EXCHANGE_KIND_DIGEST_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "store/object_store.h"

namespace meadowthread {

/// @brief Maximum length of KindDigest::beyond_versions.
inline constexpr std::size_t kMaxBeyondVersions = 256;

/// @brief Digest of what a host knows of one kind of object.
struct KindDigest {
  std::string kind;
  std::int64_t revision = 0;  ///< all changes up to it are known
  /// When the object store was last read to confirm `revision`.
  std::int64_t confirmed_unix_ms = 0;
  std::string confirmed_by;  ///< host that did this read; empty: none yet
  /// Hash of the objects known above `revision`; 0: there are none.
  std::uint64_t beyond = 0;
  /// Versions of the first kMaxBeyondVersions of these objects, ascending. A
  /// version is a revision of the store, so that no two objects share one.
  std::vector<std::int64_t> beyond_versions = {};

  friend bool operator==(const KindDigest&, const KindDigest&) = default;
};

/// @brief Objects of a kind that a host knows above a revision.
struct KindDelta {
  std::string kind;
  std::int64_t since = 0;  ///< starts after this revision
  /// Items are complete from `since` up to here; there may be single ones
  /// above.
  std::int64_t revision = 0;
  /// Items are all live objects up to `revision`: any other object that the
  /// receiver holds was deleted.
  bool full = false;
  bool cut = false;  ///< truncated at the byte limit
  std::int64_t confirmed_unix_ms = 0;
  std::string confirmed_by;
  std::vector<StoredObject> items;  ///< by ascending version
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_KIND_DIGEST_H_
