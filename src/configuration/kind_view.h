#ifndef MEADOWTHREAD_CONFIGURATION_KIND_VIEW_H_
#define MEADOWTHREAD_CONFIGURATION_KIND_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/view_messages.h"

namespace meadowthread {

/// @brief Maximum number of tombstones kept for one kind.
inline constexpr std::size_t kMaxTombstones = 4096;

/// @brief A host's replica of all objects of one kind. The version of an object
/// never decreases.
///
/// Two store revisions describe how complete the replica is. Every change up to
/// the watermark is known. Tombstones at or below the floor, which is at most
/// the watermark, are discarded, so an offered object that is unknown here and
/// whose version is at or below the floor has been deleted.
///
/// A complete read that is the first of a new era of the store comes from an
/// older copy of it. Objects that it lacks may be written again, so they stay
/// until EndRewriting.
class KindView {
 public:
  explicit KindView(std::string_view kind) : kind(kind) {}

  /// @brief Stores an object unless the same or a newer version is known.
  /// @return whether it was stored
  /// @complexity logarithmic
  bool Apply(const StoredObject& object) { return this->Apply(object, false); }

  /// @brief Applies the live objects of a read of the object store at
  /// `revision`, even those at or below the floor, unless the read is stale.
  /// @param[out] changed the objects that were stored are appended
  void ApplyStoreRead(std::int64_t revision,
                      std::span<const StoredObject> items,
                      std::vector<StoredObject>* changed);

  /// @brief Applies all changes after `since` up to `revision`. Raises the
  /// watermark if there is no gap after it and `revision` isn't below it.
  /// @param[in] full items are all live objects up to `revision`
  /// @param[out] changed stored and removed objects are appended
  /// @return whether the watermark is now `revision`
  bool ApplyRange(std::int64_t since, std::int64_t revision, bool full,
                  std::span<const StoredObject> items,
                  std::vector<StoredObject>* changed);

  /// @brief Removes the objects of earlier eras that were not written again.
  /// @param[out] changed removed objects are appended
  void EndRewriting(std::vector<StoredObject>* changed);

  /// @brief Records a confirmation of a read at `revision` if that is the
  /// watermark and no later confirmation is known.
  void Confirm(std::int64_t revision, const Confirmation& confirmation);

  ViewDigest Digest() const;

  /// @brief The revision of the kind's newest change at or below the watermark;
  /// 0 if there is none. Other kinds' changes raise the watermark, but not
  /// this.
  std::int64_t LatestChange() const { return this->latest_change; }

  /// @brief The changes after `since`, truncated at the byte limit unless the
  /// delta is full. Holds at least one item if there is any.
  ViewDelta DeltaSince(std::int64_t since, std::size_t limit_bytes) const;

  /// @brief The object, which may be a tombstone, or null if it is unknown.
  const StoredObject* Find(std::string_view name) const;

  /// @brief All live objects by ascending name.
  std::vector<const StoredObject*> Live() const;

 private:
  bool Apply(const StoredObject& object, bool is_from_store);
  void RemoveAbsent(std::int64_t revision, std::span<const StoredObject> items,
                    std::vector<StoredObject>* changed);
  void RaiseLatestChange(std::int64_t revision);
  void RaiseFloor(std::int64_t revision);
  void LimitTombstones();
  void Erase(const std::string& name);

  std::string kind;
  std::map<std::string, StoredObject, std::less<>> objects;
  std::map<std::int64_t, const StoredObject*> by_version;
  std::size_t tombstones = 0;
  std::int64_t watermark = 0;
  std::int64_t latest_change = 0;
  std::int64_t floor = 0;
  /// Objects of an earlier era may still be written again.
  bool awaits_rewriting = false;
  Confirmation confirmed;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_KIND_VIEW_H_
