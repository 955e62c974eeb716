#ifndef MEADOWTHREAD_ROLLOUT_ROLLOUT_H_
#define MEADOWTHREAD_ROLLOUT_ROLLOUT_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace meadowthread {

/// @brief Maximum number of versions that a rollout's status excludes.
inline constexpr std::size_t kMaxExcludedVersions = 8;

/// @brief An operator's order to move a service's requests to servers of
/// another version, which run beside the servers in use.
struct RolloutOrder {
  std::string service;
  std::string target_version;
  std::int64_t duration_ms = 0;  ///< the rollout has to be decided within it

  friend bool operator==(const RolloutOrder&, const RolloutOrder&) = default;
};

/// @brief State of a rollout, as told to the operator.
enum class RolloutState {
  kRunning,
  kCompleted,   ///< the servers of other versions stop at once
  kRolledBack,  ///< the servers of the target version leave
};

/// @brief The state's name in log lines and on the command line.
std::string_view RolloutStateName(RolloutState state);

/// @brief The recorded outcome of a rollout so far. It outlives all hosts, as
/// it is kept in the store.
struct RolloutStatus {
  RolloutState state = RolloutState::kRunning;
  std::string target_version;
  std::int64_t duration_ms = 0;      ///< of the order; 0: not recorded
  std::int64_t started_unix_ms = 0;  ///< 0: not recorded
  /// Versions whose servers must get no requests.
  std::vector<std::string> excluded_versions;

  friend bool operator==(const RolloutStatus&, const RolloutStatus&) = default;
};

/// @brief An order together with its recorded status.
struct Rollout {
  RolloutOrder order;
  std::optional<RolloutStatus> status;  ///< nullopt: none recorded yet

  friend bool operator==(const Rollout&, const Rollout&) = default;
};

/// @brief Whether a status was recorded for this order, and not for one that
/// the operator has replaced.
bool BelongsTo(const RolloutStatus& status, const RolloutOrder& order);

/// @brief The status with which a rollout begins. Versions that an earlier
/// rollout excluded stay excluded.
/// @param[in] excluded the versions to exclude
RolloutStatus InitialStatus(const RolloutOrder& order,
                            std::span<const std::string> excluded,
                            std::int64_t now_unix_ms);

/// @brief The status of a rollout that ends.
/// @param[in] running the status so far
/// @param[in] replaced the versions that are in use besides the target; they
/// are excluded if the rollout is completed
RolloutStatus FinalStatus(const RolloutStatus& running, RolloutState state,
                          std::span<const std::string> replaced);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ROLLOUT_ROLLOUT_H_
