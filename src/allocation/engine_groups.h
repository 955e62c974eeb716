#ifndef MEADOWTHREAD_ALLOCATION_ENGINE_GROUPS_H_
#define MEADOWTHREAD_ALLOCATION_ENGINE_GROUPS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "policy/fleet_state.h"

namespace meadowthread {

/// @brief A host that accepts requests of callers and may be an allocator.
struct AllocatorHost {
  std::string name;
  std::string zone;

  friend bool operator==(const AllocatorHost&, const AllocatorHost&) = default;
};

/// @brief Engines that may run the same requests: those of one service in one
/// availability zone.
struct EnginePool {
  std::string zone;
  std::string service;  ///< empty: engines do not belong to services

  // clang-tidy 14 mistakes the literal 0 in the defaulted comparison for a null
  // pointer.
  friend auto operator<=>(  // NOLINTNEXTLINE(modernize-use-nullptr)
      const EnginePool&, const EnginePool&) = default;
};

/// @brief Divides the engines into groups and assigns allocators to each group.
/// The engines of a pool are one group, or several if there are many.
///
/// The result depends only on the lists of hosts and engines. While the lists
/// of two hosts differ, both may allocate the same engine; the only effect is a
/// higher load on it.
class EngineGroups {
 public:
  /// The first allocator of a group places requests; the second is asked if the
  /// first does not respond.
  static constexpr std::size_t kAllocatorsPerGroup = 2;

  /// @return whether the hosts changed
  bool SetHosts(std::span<const AllocatorHost> hosts);

  /// @brief Counts the live engines of each pool.
  /// @complexity O(engines)
  void CountEngines(const FleetState& fleet);

  /// @brief The group of an engine.
  std::string GroupOf(const EngineView& engine) const;

  /// @brief All groups that have engines.
  std::vector<std::string> Groups() const;

  /// @brief The service whose engines are in the group.
  static std::string_view ServiceOf(std::string_view group);

  /// @brief The group that a request from a host in this zone for this service
  /// goes to first.
  /// @param[in] random spreads requests over the pool's groups
  /// @return empty if the service has no engines at all
  std::string GroupFor(const EnginePool& pool, std::uint64_t random) const;

  /// @brief The group's allocators in the order in which they are asked.
  /// @complexity O(hosts) on the first call after the hosts changed
  const std::vector<std::string>& AllocatorsOf(std::string_view group) const;

  /// @brief Whether the host is one of the group's allocators.
  bool IsAllocator(std::string_view host, std::string_view group) const;

 private:
  std::size_t GroupCount(const EnginePool& pool) const;
  std::vector<std::string> RankAllocators(std::string_view group) const;

  std::vector<AllocatorHost> hosts;
  std::map<EnginePool, std::size_t> engine_counts;
  mutable std::map<std::string, std::vector<std::string>, std::less<>>
      allocators;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_ALLOCATION_ENGINE_GROUPS_H_
