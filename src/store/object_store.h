#ifndef MEADOWTHREAD_STORE_OBJECT_STORE_H_
#define MEADOWTHREAD_STORE_OBJECT_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief One version of an object of the platform's object API.
struct StoredObject {
  std::string kind;
  std::string name;
  /// The store's revision at which this version was written; versions only
  /// grow, over all objects. 0 stands for "absent" in conditions.
  std::int64_t version = 0;
  std::string value;
  bool deleted = false;  ///< a tombstone: `value` is empty

  friend bool operator==(const StoredObject&, const StoredObject&) = default;
};

/// @brief Objects of one kind as of a revision of the store.
struct ObjectList {
  std::int64_t revision = 0;  ///< everything up to it is known
  std::vector<StoredObject> items;
  /// Objects passed over: what names or dates them can't be read.
  std::int64_t passed_over = 0;
};

/// @brief The platform's object API.
///
/// Answers come later, never from within the call, on the event loop's thread.
/// Errors: kStoreConflict (certainly not applied; another version stands),
/// kStoreUnavailable (certainly not applied), kStoreUnknown (it may have taken
/// effect, or may yet), kNotFound.
class ObjectStore {
 public:
  using GetDone = std::function<void(const absl::StatusOr<StoredObject>&)>;
  using PutDone = std::function<void(const absl::StatusOr<std::int64_t>&)>;
  using ListDone = std::function<void(const absl::StatusOr<ObjectList>&)>;

  virtual ~ObjectStore() = default;

  /// @brief Reads one object; kNotFound where it is absent or deleted.
  virtual void Get(std::string_view kind, std::string_view name,
                   const GetDone& done) = 0;

  /// @brief Conditional update.
  /// @param[in] expected_version the version that must stand; 0: none may
  /// @param[in] done told the new version
  virtual void Put(std::string_view kind, std::string_view name,
                   std::string_view value, std::int64_t expected_version,
                   const PutDone& done) = 0;

  /// @brief Conditional removal; told the tombstone's version.
  virtual void Delete(std::string_view kind, std::string_view name,
                      std::int64_t expected_version, const PutDone& done) = 0;

  /// @brief All objects of a kind changed after `since` (0: all), tombstones
  /// too where `since` is not 0.
  virtual void List(std::string_view kind, std::int64_t since,
                    const ListDone& done) = 0;

  /// @brief As List, but waits up to `wait_ms` for a first change;
  /// kStoreRevisionGone where `since` is too old: list anew.
  virtual void Watch(std::string_view kind, std::int64_t since,
                     std::int64_t wait_ms, const ListDone& done) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_STORE_OBJECT_STORE_H_
