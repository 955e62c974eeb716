#ifndef MEADOWTHREAD_SERVE_STORE_UPTIME_EXCHANGE_H_
#define MEADOWTHREAD_SERVE_STORE_UPTIME_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/lifetime.h"
#include "base/scheduler.h"
#include "exchange/datagrams.h"
#include "relay/store_outage_tracker.h"

namespace meadowthread {

/// @brief Exchanges between hosts for how long the store has answered each of
/// them without an outage.
///
/// A host asks its peers if an entry was removed and the host cannot tell on
/// its own whether the entry only expired because of a store outage. If the
/// replies are lost, the host decides from what it knows.
class StoreUptimeExchange {
 public:
  /// @brief Returns the hosts that watch the store, as far as known here.
  using Watchers = std::function<std::vector<std::string>()>;

  /// @param[in] hub,clock,scheduler,outages,random outlive this
  /// @param[in] watchers returns the hosts to ask
  StoreUptimeExchange(DatagramHub& hub, const Clock& clock,
                      Scheduler& scheduler, StoreOutageTracker& outages,
                      std::mt19937_64& random, Watchers watchers);
  StoreUptimeExchange(const StoreUptimeExchange&) = delete;
  StoreUptimeExchange& operator=(const StoreUptimeExchange&) = delete;

  /// @brief Returns whether there is still a removed entry of which it is
  /// unknown whether it only expired because of a store outage.
  using IsUndecided = std::function<bool()>;

  /// @brief Asks two of the hosts that watch the store. If `is_undecided` is
  /// still true shortly after, asks all of them.
  void AskPeers(const IsUndecided& is_undecided);

  /// @brief The store uptime of this host, as it is told to peers; an empty
  /// array if it has none.
  nlohmann::json OwnUptime() const;

  /// @brief Records a peer's store uptime. An empty array says nothing.
  /// @return whether it was recorded
  bool RecordUptime(std::string_view host, const nlohmann::json& payload);

  /// @brief Sets a callback for after each reply was recorded.
  void OnPeerUptime(const std::function<void()>& callback) {
    this->uptime_callback = callback;
  }

 private:
  void SendQueries(std::size_t count);
  void SendReply(std::string_view host);
  void OnReply(std::string_view host, const nlohmann::json& payload);

  DatagramHub& hub;
  const Clock& clock;
  Scheduler& scheduler;
  StoreOutageTracker& outages;
  std::mt19937_64& random;
  Watchers watchers;
  std::function<void()> uptime_callback;
  bool is_asking = false;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_SERVE_STORE_UPTIME_EXCHANGE_H_
