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

/// @brief Most tombstones kept of one kind.
inline constexpr std::size_t kMaxTombstones = 4096;

/// @brief One kind's objects: versions only go up.
///
/// Two revisions describe what is known. The watermark: everything up to it is
/// known. The floor, at most the watermark: tombstones at or under it are no
/// longer kept, so an unknown object at or under it is a deleted one.
class KindView {
 public:
  explicit KindView(std::string_view kind) : kind(kind) {}

  /// @brief Takes an object, unless as new or a newer version is known.
  /// @return whether it was taken
  /// @complexity logarithmic
  bool Take(const StoredObject& object) { return this->Take(object, false); }

  /// @brief Takes what a read of the platform as of `revision` shows, also
  /// what the floor holds back from others, unless the read is stale.
  /// @param[out] changed what was taken is appended
  void TakeShown(std::int64_t revision, std::span<const StoredObject> items,
                 std::vector<StoredObject>* changed);

  /// @brief Takes what is whole from `since` to `revision`, if it joins what
  /// is known and isn't older.
  /// @param[in] full items are all live objects up to `revision`
  /// @param[out] changed what was taken and removed is appended
  /// @return whether the watermark now stands at `revision`
  bool TakeWhole(std::int64_t since, std::int64_t revision, bool full,
                 std::span<const StoredObject> items,
                 std::vector<StoredObject>* changed);

  /// @brief Adopts a confirmation of a read at `revision`, if that is the
  /// watermark and the confirmation is the latest.
  void Confirm(std::int64_t revision, const Confirmation& confirmation);

  ViewDigest Digest() const;

  /// @brief What is known beyond `since`; cut at the byte limit where it can
  /// be cut. At least one item is given where there is any.
  ViewDelta DeltaSince(std::int64_t since, std::size_t limit_bytes) const;

  /// @brief The object with its tombstone, or null where it is unknown.
  const StoredObject* Find(std::string_view name) const;

  /// @brief All live objects by ascending name.
  std::vector<const StoredObject*> Live() const;

 private:
  bool Take(const StoredObject& object, bool is_shown_live);
  void RemoveAbsent(std::int64_t revision, std::span<const StoredObject> items,
                    std::vector<StoredObject>* changed);
  void RaiseFloor(std::int64_t revision);
  void LimitTombstones();
  void Forget(const std::string& name);

  std::string kind;
  std::map<std::string, StoredObject, std::less<>> objects;
  std::map<std::int64_t, const StoredObject*> by_version;
  std::size_t tombstones = 0;
  std::int64_t watermark = 0;
  std::int64_t floor = 0;
  Confirmation confirmed;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_KIND_VIEW_H_
