#ifndef MEADOWTHREAD_ROLLOUT_ROLLOUT_EVALUATION_H_
#define MEADOWTHREAD_ROLLOUT_ROLLOUT_EVALUATION_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "policy/string_map.h"
#include "rollout/fleet_answers.h"
#include "rollout/rollout_controller.h"
#include "rollout/rollout_messages.h"

namespace meadowthread {

/// @brief The evaluation of one rollout at one of the hosts that evaluate it.
class RolloutEvaluation {
 public:
  /// @param[in] started_ms when the order was given, monotonic
  /// @param[in] now_ms when this host begins to evaluate it, monotonic
  RolloutEvaluation(const RolloutOrder& order, const RolloutLimits& limits,
                    std::int64_t started_ms, std::int64_t now_ms)
      : started_ms(started_ms), controller(order, limits, started_ms, now_ms) {}

  /// @brief Applies the report of a host.
  /// @return false if parts of it were refused because there are too many
  bool Apply(std::string_view host, const RolloutReport& report,
             std::int64_t now_ms);

  /// @brief Moves the rollout on if possible.
  /// @param[in] hosts all known hosts, this one included
  /// @param[in] silent_ms a host that reported nothing for so long counts as
  /// not running
  /// @return whether the stage has changed
  bool Advance(std::span<const std::string> hosts, std::int64_t silent_ms,
               std::int64_t now_ms);

  /// @brief Hosts that hold up the completion, as far as they have told.
  /// @param[in] hosts as above
  /// @param[in] most number of names returned at most
  std::vector<std::string> HostsNotIdle(std::span<const std::string> hosts,
                                        std::size_t most) const;

  /// @brief See RolloutController::Adopt.
  void Adopt(RolloutStage reached, std::int64_t now_ms) {
    this->controller.Adopt(reached, now_ms);
  }

  const RolloutController& Controller() const { return this->controller; }
  const FleetAnswers& Answers() const { return this->answers; }

 private:
  struct HostReport {
    std::int64_t heard_ms = 0;
    bool others_idle = false;
    std::int64_t requests = 0;
  };

  bool IsIdle(const std::string& host) const;
  bool AreOthersIdle(std::span<const std::string> hosts, std::int64_t silent_ms,
                     std::int64_t now_ms) const;
  std::int64_t EstimateRequests(std::size_t host_count,
                                std::int64_t now_ms) const;

  std::int64_t started_ms;
  RolloutController controller;
  FleetAnswers answers;
  StringMap<HostReport> hosts;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ROLLOUT_ROLLOUT_EVALUATION_H_
