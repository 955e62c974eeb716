#ifndef MEADOWTHREAD_RELAY_DEPARTURES_H_
#define MEADOWTHREAD_RELAY_DEPARTURES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/lifetime.h"
#include "policy/shared_work.h"
#include "relay/plan_in_force.h"
#include "relay/relay_parts.h"
#include "relay/stream_session.h"

namespace meadowthread {

/// @brief Whether a host may begin to move a run off an engine whose link the
/// runs of several hosts share.
///
/// Hosts go one after the other, in the order of their names: each begins when
/// those before it have told that they have nothing left there. Of one that is
/// behind, or can't tell, nobody waits longer than until `latest_ms`.
/// @param[in] peers what the other hosts told of their work on the engine
/// @param[in] latest_ms,now_ms on one clock
bool IsTurnOf(std::string_view self, std::span<const PeerLoad> peers,
              std::int64_t latest_ms, std::int64_t now_ms);

/// @brief Takes this host's runs off engines that leave.
class Departures {
 public:
  using RunsAt =
      std::function<std::vector<StreamSession*>(std::string_view engine)>;

  /// @param[in] host this one's name
  /// @param[in] runs_at the streams that an engine has
  Departures(std::string_view host, const RelayParts& parts,
             const StreamParts& stream_parts, const PlanInForce& plan,
             RunsAt runs_at);
  Departures(const Departures&) = delete;
  Departures& operator=(const Departures&) = delete;

  /// @brief An engine leaves: its runs are to go on elsewhere.
  void Begin(const Backend& engine);

 private:
  struct Departure {
    std::string engine;
    std::string service;
    std::string zone;
    std::int64_t begun_ms = 0;
    /// When its runs have to begin to move, whatever other hosts do.
    std::int64_t latest_ms = 0;
  };

  void Plan(Departure* departure);
  void Step(const std::string& engine);
  void TellCopies();
  bool MoveOne(const Departure& departure, StreamSession& session);
  std::string ChooseTarget(const Departure& departure,
                           const StreamSession& session) const;
  std::vector<PeerLoad> PeersAt(std::string_view engine) const;
  double TokensPerMs(std::string_view service) const;

  std::string host;
  const RelayParts& parts;
  const StreamParts& stream_parts;
  const PlanInForce& plan;
  RunsAt runs_at;
  std::map<std::string, Departure, std::less<>> departures;
  std::map<std::string, int> copies_told;  ///< by engine, none that has none
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_DEPARTURES_H_
