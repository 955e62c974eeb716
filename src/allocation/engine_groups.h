#ifndef MEADOWTHREAD_ALLOCATION_ENGINE_GROUPS_H_
#define MEADOWTHREAD_ALLOCATION_ENGINE_GROUPS_H_

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "policy/fleet_state.h"

namespace meadowthread {

/// @brief An entry host that may hand out places.
struct AllocatorHost {
  std::string name;
  std::string zone;

  friend bool operator==(const AllocatorHost&, const AllocatorHost&) = default;
};

/// @brief Shares the engines out into groups, and says which hosts hand out the
/// places at each: the engines of an availability zone are one group, or
/// several where they are many.
///
/// Follows from the lists of hosts and engines alone. Two hosts whose lists
/// differ for a moment may both hand out places at an engine: it becomes
/// fuller, and nothing worse.
class EngineGroups {
 public:
  /// The first hands out, the second is asked where the first does not answer.
  static constexpr std::size_t kRanks = 2;

  /// @return whether they differ from those before
  bool SetHosts(std::span<const AllocatorHost> hosts);

  /// @brief Takes how many engines there are in each zone.
  /// @complexity O(engines)
  void CountEngines(const FleetState& fleet);

  /// @brief The group of an engine.
  std::string GroupOf(std::string_view engine, std::string_view zone) const;

  /// @brief All groups that have engines.
  std::vector<std::string> Groups() const;

  /// @brief The group that a request of a host in this zone is placed in first.
  /// @param[in] random shares requests among the zone's groups
  /// @return empty where there is no engine at all
  std::string HomeOf(std::string_view zone, std::uint64_t random) const;

  /// @brief The hosts that hand out a group's places, the first one first.
  /// @complexity O(hosts) once after each change
  const std::vector<std::string>& AllocatorsOf(std::string_view group) const;

  /// @brief Whether the host is one of them.
  bool IsAllocator(std::string_view host, std::string_view group) const;

 private:
  std::size_t BucketsOf(std::string_view zone) const;
  std::vector<std::string> Rank(std::string_view group) const;

  std::vector<AllocatorHost> hosts;
  std::map<std::string, std::size_t, std::less<>> engines;  ///< by zone
  mutable std::map<std::string, std::vector<std::string>, std::less<>> ranked;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ALLOCATION_ENGINE_GROUPS_H_
