#include "serve/watcher_choice.h"

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

// How many of the hosts watch while each is answered by all others.
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
    watchers += WatchesStore(self, answering, names.size()) ? 1 : 0;
  }
  return watchers;
}

Test(hosts_that_watch_the_store, are_all_of_a_few) {
  cr_assert(WatchersOf(1) == 1);
  cr_assert(WatchersOf(4) == 4);
}

// Each event costs a call of each of them: their number must not grow with the
// fleet.
Test(hosts_that_watch_the_store,
     are_four_or_one_in_seventeen_and_at_most_eight) {
  cr_assert(WatchersOf(15) == 4 && WatchersOf(66) == 4);
  cr_assert(WatchersOf(100) == 6);
  cr_assert(WatchersOf(350) == 8);
}

// The pattern: engines that come and go several times a second. Hosts that all
// watched on at once were all answered by each event.
Test(hosts_that_watch_the_store, watch_on_one_after_the_other) {
  cr_assert(WatchStaggerMs(0) == 0);
  for (int place = 1; place < 4; ++place) {
    cr_assert(WatchStaggerMs(place) > WatchStaggerMs(place - 1));
  }
  cr_assert(WatchStaggerMs(20) == WatchStaggerMs(3), "none stands idle");
}

Test(hosts_that_watch_the_store, come_anew_where_others_do_not_answer) {
  const std::vector<WatchPeer> none;
  cr_assert(WatchesStore("entry-0", none, 350));
}

// The pattern: the store turns away some hosts, all that watch it among them,
// and answers the rest, which heard nothing for seconds.
Test(hosts_that_watch_the_store, are_replaced_where_it_fails_them) {
  const std::vector<std::string> names = NamesOf(9);
  std::vector<WatchPeer> peers;
  peers.reserve(names.size());
  for (const std::string& name : names) {
    peers.push_back({name, true});
  }
  const std::vector<std::string> watchers = StoreReaders(peers);
  cr_assert(watchers.size() == 4);
  const std::set<std::string_view> failed(watchers.begin(), watchers.end());
  cr_assert(WatchersOf(9, failed) == 8, "four others beside them");
  for (WatchPeer& peer : peers) {
    peer.sees_store = !failed.contains(peer.name);
  }
  cr_assert(StoreReaders(peers).size() == 8, "both know when it answered");
}

// The pattern: the store is away for all; each failing call of a host costs.
Test(hosts_that_watch_the_store, are_not_all_where_it_fails_everybody) {
  const std::vector<std::string> names = NamesOf(350);
  const std::set<std::string_view> failed(names.begin(), names.end());
  cr_assert(WatchersOf(350, failed) == 16);
}

}  // namespace
}  // namespace meadowthread
