#ifndef MEADOWTHREAD_EXCHANGE_VIEW_DATAGRAMS_H_
#define MEADOWTHREAD_EXCHANGE_VIEW_DATAGRAMS_H_

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "configuration/replicated_view.h"
#include "exchange/datagrams.h"

namespace meadowthread {

/// @brief JSON payload of objects in a datagram.
nlohmann::json ItemsJson(std::span<const StoredObject> items);

/// @brief Decodes objects; an error if the payload is malformed.
absl::StatusOr<std::vector<StoredObject>> ItemsFrom(
    const nlohmann::json& payload);

/// @brief Gossips small changes of some kinds within milliseconds: each host to
/// which a change is new sends it to a few others.
///
/// For a change that is too long for a datagram, only the revision is sent: a
/// host that is still behind it shortly afterwards reads the object store.
///
/// Only speeds up replication: the next round of the exchange brings what is
/// lost, and versions keep old data from overwriting newer data.
class ViewDatagrams {
 public:
  /// @brief Called with the kind for which this host is behind.
  using BehindCallback = std::function<void(std::string_view kind)>;

  /// @param[in] kinds whose changes are sent
  /// @param[in] view,hub,scheduler outlive this
  /// @param[in] behind called if this host stays behind an announced revision
  ViewDatagrams(std::span<const std::string> kinds, ReplicatedView& view,
                DatagramHub& hub, Scheduler& scheduler, BehindCallback behind);
  ViewDatagrams(const ViewDatagrams&) = delete;
  ViewDatagrams& operator=(const ViewDatagrams&) = delete;

 private:
  void AnnounceChange(const ViewChange& change);
  void AnnounceRevision(const std::string& kind, std::int64_t revision);
  void OnRevision(const nlohmann::json& payload);
  std::int64_t RevisionOf(std::string_view kind) const;

  std::vector<std::string> kinds;
  ReplicatedView& view;
  DatagramHub& hub;
  Scheduler& scheduler;
  BehindCallback behind;
  std::map<std::string, std::int64_t, std::less<>> announced_revisions;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_VIEW_DATAGRAMS_H_
