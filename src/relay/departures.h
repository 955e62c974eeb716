#ifndef MEADOWTHREAD_RELAY_DEPARTURES_H_
#define MEADOWTHREAD_RELAY_DEPARTURES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/lifetime.h"
#include "relay/plan_in_force.h"
#include "relay/relay_parts.h"
#include "relay/stream_session.h"

namespace meadowthread {

/// @brief What one host has running on an engine that leaves.
struct HostRuns {
  std::string host;
  int runs = 0;
  std::int64_t memory_tokens = 0;  ///< of all of them
};

/// @brief When one host may move its runs off an engine.
struct MoveTurn {
  std::int64_t starts_in_ms = 0;
  std::int64_t gap_ms = 0;  ///< between its runs, besides their copying
};

/// @brief Shares an engine's link among the hosts that have runs on it: each
/// computes the same turns from what they tell each other all the time.
/// @param[in] hosts all of them, this one included
/// @param[in] tokens_per_ms how fast memory leaves the engine
MoveTurn TurnOf(std::string_view self, std::vector<HostRuns> hosts,
                double tokens_per_ms);

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
    std::string address;
    std::string service;
    std::string zone;
    std::int64_t begun_ms = 0;
    std::int64_t next_ms = 0;  ///< when the next run may be moved
    std::int64_t gap_ms = 0;
  };

  void Plan(Departure* departure);
  void Step(const std::string& engine);
  bool MoveOne(const Departure& departure, StreamSession& session);
  std::string ChooseTarget(const Departure& departure,
                           const StreamSession& session) const;
  double TokensPerMs(std::string_view service) const;

  std::string host;
  const RelayParts& parts;
  const StreamParts& stream_parts;
  const PlanInForce& plan;
  RunsAt runs_at;
  std::map<std::string, Departure, std::less<>> departures;
  Lifetime life;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_DEPARTURES_H_
