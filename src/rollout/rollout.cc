#include "rollout/rollout.h"

#include <algorithm>

namespace meadowthread {
namespace {

// Adds a version, and drops the oldest one beyond the limit: its servers have
// left long before.
void Exclude(std::string_view version, RolloutStatus* status) {
  std::vector<std::string>& excluded = status->excluded_versions;
  if (version.empty() || version == status->target_version ||
      std::find(excluded.begin(), excluded.end(), version) != excluded.end()) {
    return;
  }
  excluded.emplace_back(version);
  if (excluded.size() > kMaxExcludedVersions) {
    excluded.erase(excluded.begin());
  }
}

}  // namespace

std::string_view RolloutStateName(RolloutState state) {
  switch (state) {
    case RolloutState::kRunning:
      return "running";
    case RolloutState::kCompleted:
      return "completed";
    case RolloutState::kRolledBack:
      return "rolled_back";
  }
  return "";
}

bool BelongsTo(const RolloutStatus& status, const RolloutOrder& order) {
  return status.target_version == order.target_version &&
         (status.duration_ms == 0 || status.duration_ms == order.duration_ms);
}

RolloutStatus InitialStatus(const RolloutOrder& order,
                            std::span<const std::string> excluded,
                            std::int64_t now_unix_ms) {
  RolloutStatus status;
  status.target_version = order.target_version;
  status.duration_ms = order.duration_ms;
  status.started_unix_ms = now_unix_ms;
  for (const std::string& version : excluded) {
    Exclude(version, &status);
  }
  return status;
}

RolloutStatus FinalStatus(const RolloutStatus& running, RolloutState state,
                          std::span<const std::string> replaced) {
  RolloutStatus status = running;
  status.state = state;
  if (state == RolloutState::kCompleted) {
    for (const std::string& version : replaced) {
      Exclude(version, &status);
    }
  }
  return status;
}

}  // namespace meadowthread
