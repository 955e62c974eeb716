#ifndef MEADOWTHREAD_SERVE_EXCHANGE_PARTICIPANT_H_
#define MEADOWTHREAD_SERVE_EXCHANGE_PARTICIPANT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "base/clock.h"
#include "base/scheduler.h"
#include "configuration/replicated_view.h"
#include "exchange/exchanger.h"
#include "exchange/peer_directory.h"
#include "exchange/replicated_source.h"
#include "exchange/rpc_client.h"
#include "exchange/rpc_server.h"
#include "hosts/host_directory.h"
#include "serve/fleet_load_adapter.h"
#include "settings/settings.h"

namespace meadowthread {

/// @brief Runs this host's side of the state exchange between entry hosts: its
/// RPC server, its list of peers and the exchange rounds.
class ExchangeParticipant {
 public:
  /// @param[in] clock,scheduler,view,hosts outlive this
  ExchangeParticipant(const Settings& settings, std::int64_t incarnation,
                      const Clock& clock, Scheduler& scheduler,
                      ReplicatedView& view, HostDirectory& hosts);

  /// @brief Sends and receives load notes as well.
  /// @param[in] notes outlives this
  void EnableLoadNotes(FleetLoadAdapter* notes) {
    this->exchanger.EnableLoadNotes(notes, notes);
  }

  /// @brief Listens on the control port and starts the exchange rounds.
  absl::Status Start();

  /// @brief Excludes a kind from immediate pushes, as its changes reach peers
  /// by other means; the regular rounds still exchange it.
  void ExcludeFromImmediatePush(std::string_view kind) {
    this->exchanger.ExcludeFromPush(kind);
  }

  /// @brief Pushes what has changed of a kind to a few peers.
  void PushSoon(std::string_view kind) { this->exchanger.Push(kind); }

  /// @brief Whether a peer is considered reachable.
  bool IsReachable(std::string_view name) const {
    return !this->directory.IsSuspected(name);
  }

  /// @brief Number of peers that answered their latest call.
  int PeersAlive() const { return this->directory.Counts().alive; }

  /// @brief The RPC server, to register further methods before Start.
  RpcServer& Server() { return this->server; }
  const RpcServer& Server() const { return this->server; }

  ExchangeStats Stats() const { return this->exchanger.Stats(); }

 private:
  void UpdatePeers();

  HostSettings host;
  HostDirectory& hosts;
  RpcClient client;
  RpcServer server;
  PeerDirectory directory;
  ReplicatedSource source;
  Exchanger exchanger;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_EXCHANGE_PARTICIPANT_H_
