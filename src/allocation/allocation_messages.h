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
#include "policy/work.h"

namespace meadowthread {

/// @brief Engines that a host may name as not usable in one asking.
inline constexpr std::size_t kMostAvoided = 64;

/// @brief A host asks for an engine.
struct PlaceAsk {
  std::uint64_t ticket = 0;
  std::string origin;  ///< the host to be answered
  std::string group;
  std::string source;  ///< the engine that a run is copied off; empty: new work
  WorkItem work;
  std::vector<std::string> avoid;  ///< engines that the host can't use now
  bool may_pass_on = true;         ///< to another group's allocator
  bool is_passed_on = false;       ///< by the allocator that was asked
};

/// @brief What came of a PlaceAsk.
enum class PlaceVerdict {
  kPlaced,    ///< an engine was chosen
  kNoRoom,    ///< none can begin it in time
  kNoEngine,  ///< none can be used
  kQueued,    ///< its turn will be told
  kDeclined,  ///< the host asked does not know the group's work
};

/// @brief The answer to a PlaceAsk.
struct PlaceAnswer {
  std::uint64_t ticket = 0;
  PlaceVerdict verdict = PlaceVerdict::kDeclined;
  std::string engine;  ///< the chosen one, or the best that was looked at
  double cost = 0.0;
  double memory_part = 0.0;
  int in_flight = 0;
  std::int64_t first_event_ms = 0;  ///< expected from now
  std::int64_t reading_ahead = 0;   ///< prompt tokens that it reads before
  bool is_of_other_group = false;   ///< the request was passed on
};

/// @brief A run's copy is over, or it waits no longer for its turn.
struct TurnOver {
  std::string engine;
  std::uint64_t ticket = 0;
};

/// @brief How much pressure is on the engine of a group that has the least.
struct GroupPressure {
  std::string group;
  double cost = 0.0;
};

/// @brief What became of an attempt at an engine.
struct EngineAttempt {
  std::string engine;
  int result = 0;  ///< as the sending slice numbers them
};

/// @brief Messages as they travel.
nlohmann::json ToJson(const PlaceAsk& ask);
nlohmann::json ToJson(const PlaceAnswer& answer);
nlohmann::json ToJson(const TurnOver& over);
nlohmann::json ToJson(const GroupPressure& pressure);
nlohmann::json ToJson(const EngineAttempt& attempt);
nlohmann::json ToJson(const ReadingSeen& seen);

/// @brief Reads a message; whatever was sent, it gives one or an error.
absl::StatusOr<PlaceAsk> PlaceAskFrom(const nlohmann::json& payload);
absl::StatusOr<PlaceAnswer> PlaceAnswerFrom(const nlohmann::json& payload);
absl::StatusOr<TurnOver> TurnOverFrom(const nlohmann::json& payload);
absl::StatusOr<GroupPressure> GroupPressureFrom(const nlohmann::json& payload);
absl::StatusOr<EngineAttempt> EngineAttemptFrom(const nlohmann::json& payload);
absl::StatusOr<ReadingSeen> ReadingSeenFrom(const nlohmann::json& payload);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ALLOCATION_ALLOCATION_MESSAGES_H_
