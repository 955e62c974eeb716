#ifndef MEADOWTHREAD_CONFIGURATION_REPLICATED_VIEW_H_
#define MEADOWTHREAD_CONFIGURATION_REPLICATED_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "configuration/kind_view.h"
#include "configuration/view_messages.h"

namespace meadowthread {

/// @brief Confirmations dated further ahead of this host's clock than this, in
/// milliseconds, are ignored.
inline constexpr std::int64_t kMaxClockSkewMs = 5000;

/// @brief After the store has come back from an older copy, the writers of
/// objects that are lost have written them again within this time, in
/// milliseconds. It is longer than the two seconds that writers have.
inline constexpr std::int64_t kRewritingMs = 2'500;

/// @brief A host's replica of templates, marks and other kinds of the object
/// store. Updates come from the store, from peers and from operators, in any
/// order.
///
/// Updates may be late, duplicated or stale: the version of an object never
/// decreases, and an object is removed only by a newer version or by a newer
/// complete read.
class ReplicatedView {
 public:
  using Listener = std::function<void(const ViewChange&)>;

  /// @param[in] clock must outlive this object
  /// @param[in] kinds the kinds to replicate; others are ignored
  ReplicatedView(const Clock& clock, std::span<const std::string_view> kinds);

  /// @brief Calls `listener` after each change, in order of registration. It
  /// may read the view, but must not update it.
  void AddListener(const Listener& listener);

  /////////////////
  // 1. updating //
  /////////////////

  /// @brief Applies the response to a list or watch call.
  /// @param[in] since the requested start revision; 0: all live objects
  /// @param[in] confirmation who read, and a time that the read reflects
  /// @return false if the response is stale or leaves a gap after the watermark
  bool ApplyList(std::string_view kind, std::int64_t since,
                 const ObjectList& list, const Confirmation& confirmation);

  /// @brief Applies a peer's delta. The watermark rises only if the delta
  /// leaves no gap after it and reaches a higher revision.
  /// @return whether the watermark is now the delta's revision
  bool ApplyDelta(const ViewDelta& delta);

  /// @brief Applies single objects offered by peers or operators.
  /// @return the number of objects that were newer and have been stored
  int ApplyItems(std::span<const StoredObject> items);

  /// @brief Calls `listener` with a kind whose view has entered a new era of
  /// the store, which has come back from an older copy.
  void AddEraListener(const std::function<void(std::string_view)>& listener) {
    this->era_listeners.push_back(listener);
  }

  /// @brief Removes what was not written again within kRewritingMs of the
  /// view's entering a new era. To be called regularly.
  /// @complexity O(1) unless an era has just begun
  void EndRewriting();

  /// @brief Adopts a peer's confirmation if its watermark equals this one.
  void ApplyDigest(const ViewDigest& digest);

  ////////////////
  // 2. reading //
  ////////////////

  /// @brief The live object, or null if it is unknown or deleted.
  const StoredObject* Find(std::string_view kind, std::string_view name) const;

  /// @brief All live objects of a kind, by ascending name.
  std::vector<const StoredObject*> Live(std::string_view kind) const;

  /// @brief The kind's watermark and latest confirmation.
  ViewDigest Digest(std::string_view kind) const;

  /// @brief The revision of the kind's newest change at or below its watermark;
  /// 0 if there is none.
  std::int64_t LatestChange(std::string_view kind) const;

  /// @brief The digests of all kinds, by ascending kind.
  std::vector<ViewDigest> Digests() const;

  /// @brief The changes after `revision`, by ascending version. Truncated at
  /// the limit, unless the delta is full.
  ViewDelta DeltaSince(std::string_view kind, std::int64_t revision,
                       std::size_t limit_bytes) const;

 private:
  KindView* KindOf(std::string_view kind);
  const KindView* KindOf(std::string_view kind) const;
  void Confirm(KindView* view, std::int64_t revision,
               const Confirmation& confirmation);
  void BeginRewriting(const ViewDelta& delta, std::int64_t before);
  void NotifyListeners(std::string_view kind,
                       std::span<const StoredObject> changed);

  const Clock& clock;
  std::map<std::string, KindView, std::less<>> kinds;
  std::vector<Listener> listeners;
  std::vector<std::function<void(std::string_view)>> era_listeners;
  /// When the objects that a new era lacks are removed, by kind; monotonic.
  std::map<std::string, std::int64_t, std::less<>> rewriting_ends_ms;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_REPLICATED_VIEW_H_
