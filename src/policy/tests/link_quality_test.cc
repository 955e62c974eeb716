// How often streams stall on the way from each availability zone.
#include "policy/link_quality.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

constexpr int kStreams = 8;

// The pattern: a link that loses 3% of its packets. Eight streams of 28 events
// a second stall about once a second each.
void Lossy(LinkQuality& links, const char* zone, std::int64_t from_ms,
           std::int64_t to_ms) {
  for (std::int64_t at = from_ms; at < to_ms; at += 125) {
    links.NoteStall(zone, at);
  }
}

Test(the_way_from_a_zone, is_bad_within_a_second_of_losses) {
  LinkQuality links("a");
  Lossy(links, "b", 0, 1'000);
  cr_assert(links.Badness("b", kStreams, kStreams, 1'000) > 0.9);
  cr_assert(links.Badness("c", kStreams, kStreams, 1'000) == 0.0);
}

Test(the_way_from_a_zone, is_good_again_some_seconds_later) {
  LinkQuality links("a");
  Lossy(links, "b", 0, 5'000);
  cr_assert(links.Badness("b", kStreams, kStreams, 9'000) == 0.0);
}

Test(the_way_from_a_zone, is_not_bad_for_one_stall) {
  LinkQuality links("a");
  links.NoteStall("b", 0);
  cr_assert(links.Badness("b", kStreams, kStreams, 0) < 0.1);
}

Test(the_way_from_a_zone, is_not_bad_where_engines_stall_everywhere) {
  LinkQuality links("a");
  Lossy(links, "a", 0, 2'000);
  Lossy(links, "b", 0, 2'000);
  cr_assert(links.Badness("b", kStreams, kStreams, 2'000) == 0.0);
}

Test(the_own_zone, is_never_passed_over) {
  LinkQuality links("a");
  Lossy(links, "a", 0, 2'000);
  cr_assert(links.Badness("a", kStreams, kStreams, 2'000) == 0.0);
}

}  // namespace
}  // namespace meadowthread
