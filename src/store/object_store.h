#ifndef MEADOWTHREAD_STORE_OBJECT_STORE_H_
#define MEADOWTHREAD_STORE_OBJECT_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief One version of an object in the platform's object store.
struct StoredObject {
  std::string kind;
  std::string name;
  /// The store's revision at which this version was written, as the ordinal of
  /// a StoreRevision. Revisions increase over all objects. As an expected
  /// version, 0 means "absent".
  std::int64_t version = 0;
  std::string value;
  bool deleted = false;  ///< a tombstone: `value` is empty

  friend bool operator==(const StoredObject&, const StoredObject&) = default;
};

/// @brief The objects of one kind at a revision of the store.
struct ObjectList {
  std::int64_t revision = 0;  ///< all changes up to this revision are included
  std::vector<StoredObject> items;
  /// Number of items skipped because their kind, name or version is not valid.
  std::int64_t passed_over = 0;
};

/// @brief Interface to the platform's object store: versioned values with
/// conditional writes, lists and watches.
///
/// Callbacks run on the event loop's thread, never from within the call.
/// Errors: kStoreConflict (not applied: the object has another version),
/// kStoreUnavailable (not applied), kStoreUnknown (a write may have taken
/// effect or may still do so), kStoreMalformed (a read's response is not
/// valid), kNotFound.
class ObjectStore {
 public:
  using GetDone = std::function<void(const absl::StatusOr<StoredObject>&)>;
  using PutDone = std::function<void(const absl::StatusOr<std::int64_t>&)>;
  using ListDone = std::function<void(const absl::StatusOr<ObjectList>&)>;

  virtual ~ObjectStore() = default;

  /// @brief Reads one object; kNotFound if it is absent or deleted.
  virtual void Get(std::string_view kind, std::string_view name,
                   const GetDone& done) = 0;

  /// @brief Creates or updates an object if it has the expected version.
  /// @param[in] expected_version the version that the object must have; 0: it
  /// must not exist
  /// @param[in] done called with the new version
  virtual void Put(std::string_view kind, std::string_view name,
                   std::string_view value, std::int64_t expected_version,
                   const PutDone& done) = 0;

  /// @brief Deletes an object if it has the expected version; `done` gets the
  /// tombstone's version.
  virtual void Delete(std::string_view kind, std::string_view name,
                      std::int64_t expected_version, const PutDone& done) = 0;

  /// @brief Lists the objects of a kind that changed after revision `since`,
  /// with tombstones; if `since` is 0, all objects without tombstones.
  virtual void List(std::string_view kind, std::int64_t since,
                    const ListDone& done) = 0;

  /// @brief Like List, but waits up to `wait_ms` for a change. Fails with
  /// kStoreRevisionGone if `since` is too old; the caller must then list again.
  virtual void Watch(std::string_view kind, std::int64_t since,
                     std::int64_t wait_ms, const ListDone& done) = 0;

  /// @brief Whether the store may still have the history after a revision: not
  /// if it has begun a later era since.
  virtual bool HasHistorySince(std::int64_t /*revision*/) const { return true; }

  /// @brief Registers a function that is called when the store has begun a new
  /// era.
  virtual void OnNewEra(const std::function<void()>& /*listener*/) {}
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_STORE_OBJECT_STORE_H_
