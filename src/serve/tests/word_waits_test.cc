// The waits between the store's word and what hosts do by it, added up.
#include "serve/word_waits.h"

#include <criterion/criterion.h>

#include "serve/reading_options.h"

namespace meadowthread {
namespace {

void AllHold(const std::vector<WordWait>& waits) {
  for (const WordWait& wait : waits) {
    cr_assert(wait.Holds(), "%s takes %lld of %lld ms",
              std::string(wait.what).c_str(),
              static_cast<long long>(wait.longest_ms),
              static_cast<long long>(wait.bound_ms));
  }
}

int Missed(const std::vector<WordWait>& waits) {
  int missed = 0;
  for (const WordWait& wait : waits) {
    missed += wait.Holds() ? 0 : 1;
  }
  return missed;
}

Test(the_waits_of_a_relay_host, stay_within_the_bounds_of_the_store_s_word) {
  const WordPath path = RelayPath({});
  AllHold(ChangeWaits(path, {}));
  AllHold(LeavingWaits(path, {}));
  AllHold(EmptyingWaits(EmptiedZonesPath({}), {}));
}

Test(the_waits_of_a_host_of_the_own_interface, stay_within_five_seconds) {
  AllHold(ChangeWaits(HostPath({}), {5'000, 5'000, 5'000}));
}

Test(waits_that_grew, show_by_the_bound_that_they_miss) {
  WordPath path = RelayPath({});
  path.feeder.wait_ms = 3'000;
  cr_assert(Missed(ChangeWaits(path, {})) == 1, "behind silent connections");
  cr_assert(Missed(LeavingWaits(path, {})) == 1);
  path = EmptiedZonesPath({});
  path.feeder.wait_ms = 5'000;
  cr_assert(Missed(EmptyingWaits(path, {})) == 1);
  path = RelayPath({});
  path.feeder.most_backoff_ms = 2'000;
  cr_assert(Missed(LeavingWaits(path, {})) == 1, "a lapse noticed late");
  cr_assert(Missed(LeavingWaits(RelayPath({}), {2'000, 1'000, 3'000})) == 3,
            "a closer bound: all but those behind silent connections");
}

}  // namespace
}  // namespace meadowthread
