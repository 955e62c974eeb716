// Tests of LinkQueues: migrations that wait for the link of a draining engine.
#include "allocation/link_queues.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

const MigrationId kFirst{"host-1", 1};
const MigrationId kSecond{"host-2", 1};
const MigrationId kThird{"host-3", 1};

// Guards against two copies on one link at a time: when an engine with
// generations of many hosts drains, the last step of the first copy would wait
// behind the second copy.
Test(a_link, carries_one_migration_after_the_other) {
  LinkQueues queues;
  cr_assert(queues.Request("e", kFirst, 0));
  cr_assert(!queues.Request("e", kSecond, 10));
  cr_assert(!queues.Request("e", kThird, 20));
  cr_assert(queues.Request("other", kSecond, 20), "another link");
  cr_assert(!queues.GrantNext("e", 200).has_value());
  queues.Release("e", kFirst);
  cr_assert(queues.GrantNext("e", 200) == kSecond);
  queues.Release("e", kSecond);
  cr_assert(queues.GrantNext("e", 400) == kThird);
}

Test(a_grant, is_repeated_if_its_message_was_lost) {
  LinkQueues queues;
  cr_assert(queues.Request("e", kFirst, 0));
  cr_assert(queues.Request("e", kFirst, 250));
  cr_assert(!queues.Request("e", kSecond, 250));
}

Test(a_host_that_is_gone, holds_a_link_no_longer_than_a_copy_takes) {
  LinkQueues queues;
  cr_assert(queues.Request("e", kFirst, 0));
  cr_assert(!queues.Request("e", kSecond, 600));
  cr_assert(queues.GrantNext("e", 901) == kSecond);
}

Test(a_migration, that_does_not_renew_its_request_is_skipped) {
  LinkQueues queues;
  cr_assert(queues.Request("e", kFirst, 0));
  cr_assert(!queues.Request("e", kSecond, 10));
  cr_assert(!queues.Request("e", kThird, 20));
  cr_assert(!queues.Request("e", kThird, 270));
  queues.Release("e", kFirst);
  cr_assert(queues.GrantNext("e", 620) == kThird);
  queues.Release("e", kThird);
  queues.DropExpired(700);
  cr_assert(!queues.GrantNext("e", 700).has_value());
}

}  // namespace
}  // namespace meadowthread
