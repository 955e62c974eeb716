#ifndef MEADOWTHREAD_SERVE_EXCHANGE_DUTY_H_
#define MEADOWTHREAD_SERVE_EXCHANGE_DUTY_H_

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
#include "serve/load_notes.h"
#include "settings/settings.h"

namespace meadowthread {

/// @brief This host's part in the exchange between entry hosts.
class ExchangeDuty {
 public:
  /// @param[in] clock,scheduler,view,hosts outlive the duty
  ExchangeDuty(const Settings& settings, std::int64_t incarnation,
               const Clock& clock, Scheduler& scheduler, ReplicatedView& view,
               HostDirectory& hosts);

  /// @brief Carries load notes too; `notes` outlives the duty.
  void CarryLoads(LoadNotes* notes) {
    this->exchanger.CarryLoads(notes, notes);
  }

  /// @brief Listens on the control port and starts the rounds.
  absl::Status Start();

  /// @brief Kinds whose changes are told otherwise: rounds alone carry them.
  void KeepOutOfNews(std::string_view kind) {
    this->out_of_news.emplace_back(kind);
  }

  /// @brief Whether a peer answered when it was last asked, as far as known.
  bool Answers(std::string_view name) const {
    return !this->directory.IsSuspected(name);
  }

  /// @brief Peers that answered when last asked.
  int PeersAlive() const { return this->directory.Counts().alive; }

  /// @brief For further methods, to be registered before Start.
  RpcServer& Server() { return this->server; }
  const RpcServer& Server() const { return this->server; }

  ExchangeStats Stats() const { return this->exchanger.Stats(); }

 private:
  void TakeHosts();

  HostSettings host;
  HostDirectory& hosts;
  std::vector<std::string> out_of_news;
  RpcClient client;
  RpcServer server;
  PeerDirectory directory;
  ReplicatedSource source;
  Exchanger exchanger;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_EXCHANGE_DUTY_H_
