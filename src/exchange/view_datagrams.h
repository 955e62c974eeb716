#ifndef MEADOWTHREAD_EXCHANGE_VIEW_DATAGRAMS_H_
#define MEADOWTHREAD_EXCHANGE_VIEW_DATAGRAMS_H_

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/gossip_channel.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "configuration/replicated_view.h"
#include "exchange/datagrams.h"
#include "exchange/patch_history.h"

namespace meadowthread {

/// @brief Payload of objects in a datagram, compressed: entries of servers, for
/// example, have most of their text in common.
nlohmann::json ItemsJson(std::span<const StoredObject> items);

/// @brief Decodes objects; an error if the payload is malformed.
absl::StatusOr<std::vector<StoredObject>> ItemsFrom(
    const nlohmann::json& payload);

/// @brief Decodes objects that are not compressed.
absl::StatusOr<std::vector<StoredObject>> ItemsFromList(
    const nlohmann::json& list);

/// @brief Gossips changes of some kinds within milliseconds: each host to which
/// a change is new sends it to a few others.
///
/// Of an object that is too long for a datagram, only the difference from its
/// version before is sent. A host that has missed a version, or has heard only
/// that there is one, asks a host that has it for what it lacks. Only a host
/// that is still behind after that reads the object store.
///
/// Only speeds up replication: the next round of the exchange brings what is
/// lost, and versions keep old data from overwriting newer data.
class ViewDatagrams {
 public:
  using KindCallback = std::function<void(std::string_view kind)>;

  /// @param[in] kinds whose changes are sent
  /// @param[in] view,channel,scheduler outlive this
  /// @param[in] behind called with the kind if this host stays behind an
  /// announced version
  /// @param[in] too_long called with the kind if an object has changed so much
  /// that datagrams can't carry the difference
  ViewDatagrams(std::span<const std::string> kinds, ReplicatedView& view,
                GossipChannel& channel, Scheduler& scheduler,
                KindCallback behind, KindCallback too_long);
  ViewDatagrams(const ViewDatagrams&) = delete;
  ViewDatagrams& operator=(const ViewDatagrams&) = delete;

  /// @brief Handles the datagrams of a hub, to be called before its start.
  void Connect(DatagramHub& hub);

  /// @brief Handles a message of another host.
  /// @return an error if it is malformed
  absl::Status OnMessage(std::string_view topic, std::string_view host,
                         const nlohmann::json& payload);

 private:
  /// A version of an object that is known to exist.
  struct ObjectVersion {
    std::string kind;
    std::string name;
    std::int64_t version = 0;
  };

  // 1. own changes
  void AnnounceChange(const ViewChange& change);
  void SendItems(std::span<const StoredObject> items);
  void SendLongObject(const StoredObject& object);
  void RemindLater(const ObjectVersion& known);

  // 2. messages
  absl::Status OnItems(const nlohmann::json& payload);
  absl::Status OnPatch(std::string_view host, const nlohmann::json& payload);
  absl::Status OnVersion(std::string_view host, const nlohmann::json& payload);
  absl::Status OnRequest(std::string_view host, const nlohmann::json& payload);
  void ApplyReceived(const ObjectPatch& patch);

  // 3. catching up
  void CatchUpLater(const ObjectVersion& told, std::string_view host);
  void Ask(const ObjectVersion& told, const std::string& host);
  void ReadIfBehind(const ObjectVersion& told);

  bool IsSent(std::string_view kind) const;
  std::int64_t VersionOf(std::string_view kind, std::string_view name) const;
  static nlohmann::json ToJson(const ObjectVersion& version);
  static absl::StatusOr<ObjectVersion> VersionFrom(
      const nlohmann::json& payload);

  std::vector<std::string> kinds;
  ReplicatedView& view;
  GossipChannel& channel;
  Scheduler& scheduler;
  KindCallback behind;
  KindCallback too_long;
  PatchHistory history;
  /// The patch that is being applied, which is forwarded as it came.
  const ObjectPatch* received = nullptr;
  /// Versions that this host is catching up with, by kind and name.
  std::map<std::pair<std::string, std::string>, std::int64_t> awaited;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_VIEW_DATAGRAMS_H_
