#include "serve/watcher_choice.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace meadowthread {
namespace {

// How many of the hosts watch while each is answered by all others.
int WatchersOf(int hosts) {
  std::vector<std::string> names(static_cast<std::size_t>(hosts));
  for (std::size_t i = 0; i < names.size(); ++i) {
    names[i] = "entry-" + std::to_string(i);
  }
  int watchers = 0;
  for (const std::string& self : names) {
    std::vector<std::string_view> answering;
    for (const std::string& name : names) {
      if (name != self) {
        answering.push_back(name);
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
  const std::vector<std::string_view> none;
  cr_assert(WatchesStore("entry-0", none, 350));
}

}  // namespace
}  // namespace meadowthread
