#include "allocation/engine_groups.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cstdint>
#include <utility>

#include "absl/strings/str_cat.h"

namespace meadowthread {
namespace {

// Engines of one group. Each begins two or three streams a second, each of
// which costs its allocator six datagrams: with so many it stays under one in a
// hundred of a core.
constexpr std::size_t kMostEngines = 48;

std::uint64_t HashOf(std::string_view text, std::uint64_t seed = 0) {
  return XXH64(text.data(), text.size(), seed);
}

std::string_view ZoneOf(std::string_view group) {
  return group.substr(0, group.rfind('/'));
}

std::string NameOf(std::string_view zone, std::size_t bucket) {
  return absl::StrCat(std::string(zone), "/", bucket);
}

}  // namespace

bool EngineGroups::SetHosts(std::span<const AllocatorHost> now) {
  if (std::equal(now.begin(), now.end(), this->hosts.begin(),
                 this->hosts.end())) {
    return false;
  }
  this->hosts.assign(now.begin(), now.end());
  this->ranked.clear();
  return true;
}

void EngineGroups::CountEngines(const FleetState& fleet) {
  std::map<std::string, std::size_t, std::less<>> counted;
  for (std::size_t i = 0; i < fleet.EngineCount(); ++i) {
    const EngineView& view = fleet.View(static_cast<EngineIndex>(i));
    if (view.live) {
      ++counted[view.zone];
    }
  }
  this->engines = std::move(counted);
}

// A power of two, so that engines that come and go seldom change it.
std::size_t EngineGroups::BucketsOf(std::string_view zone) const {
  const auto found = this->engines.find(zone);
  const std::size_t count = found == this->engines.end() ? 1 : found->second;
  return std::bit_ceil((count + kMostEngines - 1) / kMostEngines);
}

std::string EngineGroups::GroupOf(std::string_view engine,
                                  std::string_view zone) const {
  return NameOf(zone, HashOf(engine) % this->BucketsOf(zone));
}

std::vector<std::string> EngineGroups::Groups() const {
  std::vector<std::string> groups;
  for (const auto& [zone, count] : this->engines) {
    for (std::size_t bucket = 0; bucket < this->BucketsOf(zone); ++bucket) {
      groups.push_back(NameOf(zone, bucket));
    }
  }
  return groups;
}

std::string EngineGroups::HomeOf(std::string_view zone,
                                 std::uint64_t random) const {
  if (this->engines.contains(zone)) {
    return NameOf(zone, random % this->BucketsOf(zone));
  }
  const std::vector<std::string> groups = this->Groups();
  return groups.empty() ? "" : groups[random % groups.size()];
}

const std::vector<std::string>& EngineGroups::AllocatorsOf(
    std::string_view group) const {
  const auto found = this->ranked.find(group);
  return found != this->ranked.end()
             ? found->second
             : this->ranked.emplace(group, this->Rank(group)).first->second;
}

// Rendezvous hashing: a host that comes or goes changes only the groups that it
// hands out itself.
std::vector<std::string> EngineGroups::Rank(std::string_view group) const {
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
  for (std::size_t i = 0; i < std::min(kRanks, scored.size()); ++i) {
    best.emplace_back(scored[i].second);
  }
  return best;
}

bool EngineGroups::IsAllocator(std::string_view host,
                               std::string_view group) const {
  const std::vector<std::string>& best = this->AllocatorsOf(group);
  return std::find(best.begin(), best.end(), host) != best.end();
}

}  // namespace meadowthread
