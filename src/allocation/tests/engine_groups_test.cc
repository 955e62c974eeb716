// Which engines are handed out together, and by whom.
#include "allocation/engine_groups.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

#include "policy/tests/fleet_fixture.h"

namespace meadowthread {
namespace {

using testing::EngineName;

std::vector<AllocatorHost> Hosts(int each) {
  std::vector<AllocatorHost> hosts;
  for (const std::string zone : {"a", "b"}) {
    for (int i = 0; i < each; ++i) {
      hosts.push_back({zone + std::to_string(i), zone});
    }
  }
  return hosts;
}

/// @brief Two zones; engines in "a" only.
struct Story {
  explicit Story(int engines) : fleet(0) {
    for (int i = 0; i < engines; ++i) {
      this->fleet.state.SetEngine({EngineName(i), "a", true, false}, 0);
    }
    this->groups.SetHosts(Hosts(10));
    this->groups.CountEngines(this->fleet.state);
  }
  testing::Fleet fleet;
  EngineGroups groups;
};

Test(a_zones_engines, are_one_group_until_they_are_many) {
  Story few(48);
  cr_assert(few.groups.Groups().size() == 1);
  for (int i = 0; i < 48; ++i) {
    cr_assert(few.groups.GroupOf(EngineName(i), "a") == "a/0");
  }
  Story many(750);
  cr_assert(many.groups.Groups().size() == 16);
  std::vector<int> sizes(16, 0);
  for (int i = 0; i < 750; ++i) {
    const std::string group = many.groups.GroupOf(EngineName(i), "a");
    ++sizes.at(std::stoul(group.substr(2)));
  }
  cr_assert(*std::max_element(sizes.begin(), sizes.end()) < 2 * 48);
}

Test(a_group, is_handed_out_by_hosts_of_its_zone) {
  Story story(20);
  const std::vector<std::string> hosts = story.groups.AllocatorsOf("a/0");
  cr_assert(hosts.size() == EngineGroups::kRanks && hosts[0] != hosts[1]);
  cr_assert(hosts[0][0] == 'a' && hosts[1][0] == 'a');
  cr_assert(story.groups.IsAllocator(hosts[1], "a/0"));
  cr_assert(!story.groups.IsAllocator("b0", "a/0"));
  cr_assert(story.groups.AllocatorsOf("c/0").size() == EngineGroups::kRanks,
            "a zone without hosts has others'");
}

Test(a_host_that_goes, changes_only_the_groups_that_it_handed_out) {
  Story story(750);
  std::vector<AllocatorHost> left = Hosts(10);
  const std::string gone = left.front().name;
  EngineGroups after = story.groups;
  left.erase(left.begin());
  cr_assert(after.SetHosts(left) && !after.SetHosts(left));
  for (const std::string& group : story.groups.Groups()) {
    const bool was_its = story.groups.IsAllocator(gone, group);
    cr_assert(was_its ==
              (story.groups.AllocatorsOf(group) != after.AllocatorsOf(group)));
  }
}

Test(a_request, is_placed_in_its_hosts_zone_where_that_has_engines) {
  Story story(20);
  cr_assert(story.groups.HomeOf("a", 7) == "a/0");
  cr_assert(story.groups.HomeOf("b", 7) == "a/0", "the only one");
  cr_assert(EngineGroups().HomeOf("a", 7).empty());
}

}  // namespace
}  // namespace meadowthread
