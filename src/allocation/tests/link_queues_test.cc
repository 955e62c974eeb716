// Turns at the links of engines that leave.
#include "allocation/link_queues.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

const LinkTurn kFirst{"host-1", 1};
const LinkTurn kSecond{"host-2", 1};
const LinkTurn kThird{"host-3", 1};

// The pattern: an engine leaves with runs of many hosts, and a second copy on
// its link makes the first run's last step wait behind it.
Test(a_link, carries_one_run_after_the_other) {
  LinkTurns turns;
  cr_assert(turns.Ask("e", kFirst, 0));
  cr_assert(!turns.Ask("e", kSecond, 10));
  cr_assert(!turns.Ask("e", kThird, 20));
  cr_assert(turns.Ask("other", kSecond, 20), "another link");
  cr_assert(!turns.Next("e", 200).has_value());
  turns.Over("e", kFirst);
  cr_assert(turns.Next("e", 200) == kSecond);
  turns.Over("e", kSecond);
  cr_assert(turns.Next("e", 400) == kThird);
}

Test(a_turn, that_was_given_is_given_again_where_the_word_of_it_was_lost) {
  LinkTurns turns;
  cr_assert(turns.Ask("e", kFirst, 0));
  cr_assert(turns.Ask("e", kFirst, 250));
  cr_assert(!turns.Ask("e", kSecond, 250));
}

Test(a_host, that_is_gone_holds_a_link_no_longer_than_a_copy_takes) {
  LinkTurns turns;
  cr_assert(turns.Ask("e", kFirst, 0));
  cr_assert(!turns.Ask("e", kSecond, 600));
  cr_assert(turns.Next("e", 901) == kSecond);
}

Test(a_run, that_no_longer_asks_is_passed_over) {
  LinkTurns turns;
  cr_assert(turns.Ask("e", kFirst, 0));
  cr_assert(!turns.Ask("e", kSecond, 10));
  cr_assert(!turns.Ask("e", kThird, 20));
  cr_assert(!turns.Ask("e", kThird, 270));
  turns.Over("e", kFirst);
  cr_assert(turns.Next("e", 620) == kThird);
  turns.Over("e", kThird);
  turns.DropOld(700);
  cr_assert(!turns.Next("e", 700).has_value());
}

}  // namespace
}  // namespace meadowthread
