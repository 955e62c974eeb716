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

/// @brief How far a peer's clock may be ahead before what it confirms is not
/// believed, in milliseconds.
inline constexpr std::int64_t kMaxClockSkewMs = 5000;

/// @brief A host's copy of the object API's templates and marks, fed by the
/// platform, by peers and by operators' offers in any order.
///
/// Whatever comes late, doubled or old: an object's version never goes down,
/// and nothing is taken away but by a newer version or a newer whole read.
class ReplicatedView {
 public:
  using Listener = std::function<void(const ViewChange&)>;

  /// @param[in] clock outlives this
  /// @param[in] kinds what is replicated; other kinds are ignored
  ReplicatedView(const Clock& clock, std::span<const std::string_view> kinds);

  /// @brief Calls `listener` after each change, in order of registration. It
  /// may read the view, but not feed it.
  void AddListener(const Listener& listener);

  ///////////////////
  // 1. feeding it //
  ///////////////////

  /// @brief Takes a list or a watch's answer.
  /// @param[in] since what was asked for; 0: all live objects
  /// @param[in] confirmation who read, and a time that the read reflects
  /// @return whether it joined what is known and isn't stale
  bool ApplyList(std::string_view kind, std::int64_t since,
                 const ObjectList& list, const Confirmation& confirmation);

  /// @brief Takes a peer's delta; the watermark rises only if the delta is
  /// whole from ours and the peer's own watermark covers it.
  /// @return whether the watermark now stands at the delta's revision
  bool ApplyDelta(const ViewDelta& delta);

  /// @brief Takes single objects: peers' and operators' offers.
  /// @return how many were taken
  int ApplyItems(std::span<const StoredObject> items);

  /// @brief Takes a peer's freshness where its watermark is ours.
  void ApplyDigest(const ViewDigest& digest);

  ////////////////////
  // 2. reading it  //
  ////////////////////

  /// @brief The live object, or null.
  const StoredObject* Find(std::string_view kind, std::string_view name) const;

  /// @brief All live objects of a kind by ascending name.
  std::vector<const StoredObject*> Live(std::string_view kind) const;

  /// @brief The kind's watermark and freshness.
  ViewDigest Digest(std::string_view kind) const;

  /// @brief Of all kinds, by ascending kind.
  std::vector<ViewDigest> Digests() const;

  /// @brief What is known beyond `revision`, ascending, cut at the limit where
  /// it can be cut.
  ViewDelta DeltaSince(std::string_view kind, std::int64_t revision,
                       std::size_t limit_bytes) const;

 private:
  KindView* KindOf(std::string_view kind);
  const KindView* KindOf(std::string_view kind) const;
  void Confirm(KindView* view, std::int64_t revision,
               const Confirmation& confirmation);
  void Tell(std::string_view kind, std::span<const StoredObject> changed);

  const Clock& clock;
  std::map<std::string, KindView, std::less<>> kinds;
  std::vector<Listener> listeners;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_REPLICATED_VIEW_H_
