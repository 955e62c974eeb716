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

std::string_view ZoneOf(std::string_view group) {
  return group.substr(0, group.rfind('/'));
}

std::string GroupName(std::string_view zone, std::size_t index) {
  return absl::StrCat(std::string(zone), "/", index);
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
  std::map<std::string, std::size_t, std::less<>> counts;
  for (std::size_t i = 0; i < fleet.EngineCount(); ++i) {
    const EngineView& view = fleet.View(static_cast<EngineIndex>(i));
    if (view.live) {
      ++counts[view.zone];
    }
  }
  this->engine_counts = std::move(counts);
}

// The count is rounded up to a power of two, so that it rarely changes when
// engines come and go; each change moves engines to other groups.
std::size_t EngineGroups::GroupCount(std::string_view zone) const {
  const auto found = this->engine_counts.find(zone);
  const std::size_t count =
      found == this->engine_counts.end() ? 1 : found->second;
  return std::bit_ceil((count + kMaxEnginesPerGroup - 1) / kMaxEnginesPerGroup);
}

std::string EngineGroups::GroupOf(std::string_view engine,
                                  std::string_view zone) const {
  return GroupName(zone, HashOf(engine) % this->GroupCount(zone));
}

std::vector<std::string> EngineGroups::Groups() const {
  std::vector<std::string> groups;
  for (const auto& [zone, count] : this->engine_counts) {
    for (std::size_t index = 0; index < this->GroupCount(zone); ++index) {
      groups.push_back(GroupName(zone, index));
    }
  }
  return groups;
}

std::string EngineGroups::GroupForZone(std::string_view zone,
                                       std::uint64_t random) const {
  if (this->engine_counts.contains(zone)) {
    return GroupName(zone, random % this->GroupCount(zone));
  }
  const std::vector<std::string> groups = this->Groups();
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
