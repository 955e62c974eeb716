#include "serve/watcher_selection.h"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

namespace meadowthread {
namespace {

std::vector<std::string> NamesOf(int hosts) {
  std::vector<std::string> names(static_cast<std::size_t>(hosts));
  for (std::size_t i = 0; i < names.size(); ++i) {
    names[i] = "entry-" + std::to_string(i);
  }
  return names;
}

// Number of hosts that watch the store if each host reaches all others and the
// reads of the `failed` hosts fail.
int WatchersOf(int hosts, const std::set<std::string_view>& failed = {}) {
  const std::vector<std::string> names = NamesOf(hosts);
  int watchers = 0;
  for (const std::string& self : names) {
    std::vector<WatchPeer> answering;
    for (const std::string& name : names) {
      if (name != self) {
        answering.push_back({name, !failed.contains(name)});
      }
    }
    watchers += WatcherIndex(self, answering, names.size()) ? 1 : 0;
  }
  return watchers;
}

Test(store_watchers, are_all_hosts_of_a_small_fleet) {
  cr_assert(WatchersOf(1) == 1);
  cr_assert(WatchersOf(4) == 4);
}

// Each change in the store costs a call by each watcher, so their number must
// not grow with the fleet.
Test(store_watchers, are_one_host_in_seventeen_at_least_four_at_most_eight) {
  cr_assert(WatchersOf(15) == 4 && WatchersOf(66) == 4);
  cr_assert(WatchersOf(100) == 6);
  cr_assert(WatchersOf(350) == 8);
}

// Guards against superfluous calls to the store while engines come and go
// several times a second: if all watchers started their next watch at once,
// each change would end all of these watches.
Test(store_watchers, start_their_next_watches_one_after_the_other) {
  cr_assert(WatchStaggerMs(0) == 0);
  for (int place = 1; place < 4; ++place) {
    cr_assert(WatchStaggerMs(place) > WatchStaggerMs(place - 1));
  }
  cr_assert(WatchStaggerMs(20) == WatchStaggerMs(3), "the delay is bounded");
}

Test(store_watchers, include_a_host_that_no_peer_answers) {
  const std::vector<WatchPeer> none;
  cr_assert(WatcherIndex("entry-0", none, 350));
}

// Guards against missed changes when the store rejects some hosts, among them
// all watchers. Without replacements, the hosts that the store still answers
// would get no changes for seconds.
Test(store_watchers, are_replaced_if_their_reads_fail) {
  const std::vector<std::string> names = NamesOf(9);
  std::vector<WatchPeer> peers;
  peers.reserve(names.size());
  for (const std::string& name : names) {
    peers.push_back({name, true});
  }
  const std::vector<std::string> watchers = StoreReaders(peers);
  cr_assert(watchers.size() == 4);
  const std::set<std::string_view> failed(watchers.begin(), watchers.end());
  cr_assert(WatchersOf(9, failed) == 8, "four others besides them");
  for (WatchPeer& peer : peers) {
    peer.sees_store = !failed.contains(peer.name);
  }
  cr_assert(StoreReaders(peers).size() == 8, "watchers and replaced ones");
}

// Guards against a flood of failing calls while the store is down for all
// hosts.
Test(store_watchers, stay_limited_if_the_reads_of_all_hosts_fail) {
  const std::vector<std::string> names = NamesOf(350);
  const std::set<std::string_view> failed(names.begin(), names.end());
  cr_assert(WatchersOf(350, failed) == 16);
}

}  // namespace
}  // namespace meadowthread
