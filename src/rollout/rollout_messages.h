#ifndef MEADOWTHREAD_ROLLOUT_ROLLOUT_MESSAGES_H_
#define MEADOWTHREAD_ROLLOUT_ROLLOUT_MESSAGES_H_

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"
#include "rollout/fleet_answers.h"
#include "rollout/rollout.h"
#include "rollout/rollout_controller.h"

namespace meadowthread {

/// @brief Maximum number of routes in one RolloutReport. More would not fit
/// into one packet on most networks.
inline constexpr std::size_t kMaxReportRoutes = 4;

/// @brief A host's report on the answers of a rollout, sent to the hosts that
/// evaluate it.
struct RolloutReport {
  RolloutOrder order;
  std::string process;  ///< see FleetAnswers::Apply
  /// Whether the host has no request in progress at other versions and sends
  /// them none.
  bool others_idle = false;
  /// Requests to the service that the host has taken since the order.
  std::int64_t requests = 0;
  AnswersByRoute routes;  ///< at most kMaxReportRoutes
};

/// @brief How far an evaluating host has taken a rollout, told to all hosts.
struct RolloutProgress {
  RolloutOrder order;
  std::string evaluator;         ///< name of the host
  std::int64_t incarnation = 0;  ///< Unix ms of its start
  std::int64_t number = 0;       ///< rises with each message of an incarnation
  RolloutStage stage = RolloutStage::kTrial;
  double share = 0.0;  ///< of new requests for the target version
};

/// @brief Encodes a message for the wire: an array of its fields.
nlohmann::json ToJson(const RolloutReport& report);
nlohmann::json ToJson(const RolloutProgress& progress);

/// @brief Decodes a message; returns an error for a malformed payload.
absl::StatusOr<RolloutReport> RolloutReportFrom(const nlohmann::json& payload);
absl::StatusOr<RolloutProgress> RolloutProgressFrom(
    const nlohmann::json& payload);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ROLLOUT_ROLLOUT_MESSAGES_H_
