#ifndef MEADOWTHREAD_RELAY_DEPARTURES_H_
#define MEADOWTHREAD_RELAY_DEPARTURES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
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

/// @brief The time, as a host's turn at a leaving engine depends on it.
struct TurnClock {
  /// No longer does it let hosts before it go first; monotonic.
  std::int64_t latest_ms = 0;
  std::int64_t now_ms = 0;       ///< monotonic
  std::int64_t now_unix_ms = 0;  ///< what peers told is dated so
};

/// @brief Whether a host may begin to move a run off an engine whose link the
/// runs of several hosts share.
///
/// Answers the load pattern "an engine leaves with runs of many hosts". A link
/// carries one copy after the other, and a run's last step that comes behind a
/// copy makes it pause: nobody begins while another host's copy is on its way.
/// Hosts go in the order of their names; one that would not be done in time
/// otherwise takes its turns between the others'. Where hosts began in any case
/// once their time was short, 38 of 128 moves in a crowd paused for more than
/// 180 ms; so it is 11 of 126 (one day, seed 1).
/// @param[in] peers what the other hosts told of their work on the engine
/// @param[in] random decides between hosts whose turn it is at one moment
bool IsTurnOf(std::string_view self, std::span<const PeerLoad> peers,
              const TurnClock& clock, std::uint64_t random);

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
    std::int64_t latest_ms = 0;  ///< see TurnClock
    // Only where another host gives the turns, by request:
    std::set<std::string> asked;            ///< whose turn is awaited
    std::map<std::string, MoveAsk> copied;  ///< whose turn has come
  };

  void Plan(Departure* departure);
  void Step(const std::string& engine);
  void TellCopies();
  bool MoveOne(const Departure& departure, StreamSession& session);
  void MoveInTurn(const Departure& departure,
                  std::span<StreamSession* const> sessions);
  void AskTurns(Departure& departure, std::span<StreamSession* const> sessions);
  void TakeTurn(const MoveAsk& move, const Decision& granted);
  void EndTurns(Departure& departure);
  static WorkItem WorkOf(const StreamSession& session);
  StreamSession* FindAt(std::string_view engine, std::string_view request);
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
