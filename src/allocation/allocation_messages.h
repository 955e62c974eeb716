#ifndef MEADOWTHREAD_ALLOCATION_ALLOCATION_MESSAGES_H_
#define MEADOWTHREAD_ALLOCATION_ALLOCATION_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"
#include "policy/fleet_state.h"
#include "policy/work_item.h"

namespace meadowthread {

/// @brief Maximum number of engines that one PlacementRequest may exclude.
inline constexpr std::size_t kMaxAvoidedEngines = 64;

/// @brief A host's request to an allocator to choose an engine.
struct PlacementRequest {
  std::uint64_t ticket = 0;  ///< identifies the request within its origin
  std::string origin;        ///< the host that gets the response
  std::string group;
  /// The engine that a generation is migrated from; empty: a new generation.
  std::string source;
  WorkItem work;
  std::vector<std::string> avoid;  ///< engines that the host can't use now
  /// Whether it may be sent on to another group's allocator.
  bool may_forward = true;
  bool is_forwarded = false;  ///< sent by another group's allocator
};

/// @brief Result of a PlacementRequest.
enum class PlacementStatus {
  kPlaced,    ///< an engine was chosen
  kNoRoom,    ///< no usable engine has room for it or can begin it in time
  kNoEngine,  ///< no engine is usable
  kQueued,    ///< a migration that waits for its source engine's link
  kDeclined,  ///< not the group's allocator, or its load data is incomplete
};

/// @brief Response to a PlacementRequest.
struct PlacementResponse {
  std::uint64_t ticket = 0;  ///< ticket of the request
  PlacementStatus status = PlacementStatus::kDeclined;
  std::string engine;  ///< the chosen one, or else the best candidate
  double cost = 0.0;   ///< placement cost, see PressureOptions
  /// Fraction of the engine's memory expected to be used.
  double memory_share = 0.0;
  int in_flight = 0;                ///< requests at the engine
  std::int64_t first_event_ms = 0;  ///< expected time to the first event
  /// Prompt tokens that the engine prefills before this request's.
  std::int64_t prefill_tokens_ahead = 0;
  bool was_forwarded = false;  ///< sent by another group's allocator
};

/// @brief Releases the link of an engine after a migration, or withdraws a
/// migration that waits for the link.
struct LinkRelease {
  std::string engine;
  std::uint64_t ticket = 0;  ///< ticket of the migration's PlacementRequest
};

/// @brief The lowest placement cost among the engines of a group.
struct GroupPressure {
  std::string group;
  double cost = 0.0;
};

/// @brief Result of an attempt to use an engine.
struct EngineAttempt {
  std::string engine;
  int result = 0;  ///< an AttemptResult of the relay
};

/// @brief Encodes a message for the wire: an array of its fields.
nlohmann::json ToJson(const PlacementRequest& request);
nlohmann::json ToJson(const PlacementResponse& response);
nlohmann::json ToJson(const LinkRelease& release);
nlohmann::json ToJson(const GroupPressure& pressure);
nlohmann::json ToJson(const EngineAttempt& attempt);
nlohmann::json ToJson(const PrefillObservation& seen);
nlohmann::json ToJson(const SpeedObservation& seen);

/// @brief Decodes a message; returns an error for a malformed payload.
absl::StatusOr<PlacementRequest> PlacementRequestFrom(
    const nlohmann::json& payload);
absl::StatusOr<PlacementResponse> PlacementResponseFrom(
    const nlohmann::json& payload);
absl::StatusOr<LinkRelease> LinkReleaseFrom(const nlohmann::json& payload);
absl::StatusOr<GroupPressure> GroupPressureFrom(const nlohmann::json& payload);
absl::StatusOr<EngineAttempt> EngineAttemptFrom(const nlohmann::json& payload);
absl::StatusOr<PrefillObservation> ReadingSeenFrom(
    const nlohmann::json& payload);
absl::StatusOr<SpeedObservation> SpeedObservationFrom(
    const nlohmann::json& payload);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ALLOCATION_ALLOCATION_MESSAGES_H_
