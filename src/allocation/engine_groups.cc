#include "allocation/engine_groups.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cstdint>
#include <utility>

#include "absl/strings/str_cat.h"

namespace meadowthread {
namespace {

// Maximum number of engines of a group. An engine begins two or three streams
// per second, and each stream costs the allocator six datagrams, so that this
// many engines need less than 1 % of a core.
constexpr std::size_t kMaxEnginesPerGroup = 48;

std::uint64_t HashOf(std::string_view text, std::uint64_t seed = 0) {
  return XXH64(text.data(), text.size(), seed);
}

// A group is named "zone/index/service", or "zone/index" if its engines do not
// belong to a service.
std::string_view ZoneOf(std::string_view group) {
  return group.substr(0, group.find('/'));
}

std::string GroupName(const EnginePool& pool, std::size_t index) {
  const std::string name = absl::StrCat(pool.zone, "/", index);
  return pool.service.empty() ? name : absl::StrCat(name, "/", pool.service);
}

}  // namespace

bool EngineGroups::SetHosts(std::span<const AllocatorHost> current) {
  if (std::equal(current.begin(), current.end(), this->hosts.begin(),
                 this->hosts.end())) {
    return false;
  }
  this->hosts.assign(current.begin(), current.end());
  this->allocators.clear();
  return true;
}

void EngineGroups::CountEngines(const FleetState& fleet) {
  std::map<EnginePool, std::size_t> counts;
  for (std::size_t i = 0; i < fleet.EngineCount(); ++i) {
    const EngineView& view = fleet.View(static_cast<EngineIndex>(i));
    if (view.live) {
      ++counts[{view.zone, view.service}];
    }
  }
  this->engine_counts = std::move(counts);
}

// The count is rounded up to a power of two, so that it rarely changes when
// engines come and go; each change moves engines to other groups.
std::size_t EngineGroups::GroupCount(const EnginePool& pool) const {
  const auto found = this->engine_counts.find(pool);
  const std::size_t count =
      found == this->engine_counts.end() ? 1 : found->second;
  return std::bit_ceil((count + kMaxEnginesPerGroup - 1) / kMaxEnginesPerGroup);
}

std::string EngineGroups::GroupOf(const EngineView& engine) const {
  const EnginePool pool = {engine.zone, engine.service};
  return GroupName(pool, HashOf(engine.engine) % this->GroupCount(pool));
}

std::vector<std::string> EngineGroups::Groups() const {
  std::vector<std::string> groups;
  for (const auto& [pool, count] : this->engine_counts) {
    for (std::size_t index = 0; index < this->GroupCount(pool); ++index) {
      groups.push_back(GroupName(pool, index));
    }
  }
  return groups;
}

std::string_view EngineGroups::ServiceOf(std::string_view group) {
  const std::size_t index = group.find('/');
  const std::size_t service =
      index == std::string_view::npos ? index : group.find('/', index + 1);
  return service == std::string_view::npos ? "" : group.substr(service + 1);
}

std::string EngineGroups::GroupFor(const EnginePool& pool,
                                   std::uint64_t random) const {
  if (this->engine_counts.contains(pool)) {
    return GroupName(pool, random % this->GroupCount(pool));
  }
  std::vector<std::string> groups = this->Groups();
  std::erase_if(groups, [&pool](std::string_view group) {
    return ServiceOf(group) != pool.service;
  });
  return groups.empty() ? "" : groups[random % groups.size()];
}

const std::vector<std::string>& EngineGroups::AllocatorsOf(
    std::string_view group) const {
  const auto found = this->allocators.find(group);
  return found != this->allocators.end()
             ? found->second
             : this->allocators.emplace(group, this->RankAllocators(group))
                   .first->second;
}

// Rendezvous hashing: when a host joins or leaves, only the groups that it is
// an allocator of change.
std::vector<std::string> EngineGroups::RankAllocators(
    std::string_view group) const {
  const std::string_view zone = ZoneOf(group);
  std::vector<std::pair<std::uint64_t, std::string_view>> scored;
  for (const AllocatorHost& host : this->hosts) {
    if (host.zone == zone) {
      scored.emplace_back(HashOf(host.name, HashOf(group)), host.name);
    }
  }
  if (scored.empty()) {
    for (const AllocatorHost& host : this->hosts) {
      scored.emplace_back(HashOf(host.name, HashOf(group)), host.name);
    }
  }
  std::sort(scored.begin(), scored.end(), std::greater<>());
  std::vector<std::string> best;
  for (std::size_t i = 0; i < std::min(kAllocatorsPerGroup, scored.size());
       ++i) {
    best.emplace_back(scored[i].second);
  }
  return best;
}

bool EngineGroups::IsAllocator(std::string_view host,
                               std::string_view group) const {
  const std::vector<std::string>& ranked = this->AllocatorsOf(group);
  return std::find(ranked.begin(), ranked.end(), host) != ranked.end();
}

}  // namespace meadowthread
