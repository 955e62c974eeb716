#ifndef MEADOWTHREAD_RELAY_DEPARTURES_H_
#define MEADOWTHREAD_RELAY_DEPARTURES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "relay/engine_control.h"
#include "relay/plan_in_force.h"
#include "relay/relay_parts.h"
#include "relay/stream_session.h"

namespace meadowthread {

/// @brief One run's turn to be moved off an engine.
struct MoveTurn {
  std::string request;
  std::int64_t starts_in_ms = 0;
};

/// @brief Shares an engine's link among the runs on it: every host computes
/// the same turns from the engine's own list, without asking each other.
/// @param[in] runs as the engine tells
/// @param[in] own requests of this host, those the engine did not list too
/// @param[in] tokens_per_ms how fast memory leaves the engine
std::vector<MoveTurn> TurnsOf(std::vector<EngineRun> runs,
                              const std::vector<EngineRun>& own,
                              double tokens_per_ms);

/// @brief Takes this host's runs off engines that leave.
class Departures {
 public:
  using RunsAt =
      std::function<std::vector<StreamSession*>(std::string_view engine)>;

  /// @param[in] runs_at the streams that an engine has
  Departures(const RelayParts& parts, const StreamParts& stream_parts,
             EngineControl& control, const PlanInForce& plan, RunsAt runs_at);
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
    std::int64_t ends_ms = 0;                   ///< when the engine is gone
    std::map<std::string, std::int64_t> turns;  ///< request to start, monotonic
  };

  void Plan(Departure* departure, const absl::StatusOr<EngineState>& state);
  void Step(const std::string& engine);
  void MoveOne(const Departure& departure, StreamSession& session);
  std::string ChooseTarget(const Departure& departure,
                           const StreamSession& session) const;
  double TokensPerMs(std::string_view service) const;

  const RelayParts& parts;
  const StreamParts& stream_parts;
  EngineControl& control;
  const PlanInForce& plan;
  RunsAt runs_at;
  std::map<std::string, Departure, std::less<>> departures;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_RELAY_DEPARTURES_H_
