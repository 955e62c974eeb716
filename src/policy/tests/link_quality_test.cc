// Measuring how often streams stall on the path from each availability zone.
#include "policy/link_quality.h"

#include <criterion/criterion.h>

namespace meadowthread {
namespace {

constexpr int kStreams = 8;

// Simulates a link that loses 3% of its packets: each of eight streams with 28
// events per second stalls about once per second.
void AddPacketLoss(LinkQuality& links, const char* zone, std::int64_t from_ms,
                   std::int64_t to_ms) {
  for (std::int64_t at = from_ms; at < to_ms; at += 125) {
    links.NoteStall(zone, at);
  }
}

Test(the_path_from_a_zone, is_degraded_within_a_second_of_packet_loss) {
  LinkQuality links("a");
  AddPacketLoss(links, "b", 0, 1'000);
  cr_assert(links.Degradation("b", kStreams, kStreams, 1'000) > 0.9);
  cr_assert(links.Degradation("c", kStreams, kStreams, 1'000) == 0.0);
}

Test(the_path_from_a_zone, is_good_again_some_seconds_later) {
  LinkQuality links("a");
  AddPacketLoss(links, "b", 0, 5'000);
  cr_assert(links.Degradation("b", kStreams, kStreams, 9'000) == 0.0);
}

Test(the_path_from_a_zone, is_not_degraded_by_one_stall) {
  LinkQuality links("a");
  links.NoteStall("b", 0);
  cr_assert(links.Degradation("b", kStreams, kStreams, 0) < 0.1);
}

Test(the_path_from_a_zone, is_not_degraded_if_engines_stall_in_all_zones) {
  LinkQuality links("a");
  AddPacketLoss(links, "a", 0, 2'000);
  AddPacketLoss(links, "b", 0, 2'000);
  cr_assert(links.Degradation("b", kStreams, kStreams, 2'000) == 0.0);
}

Test(the_own_zone, is_never_degraded) {
  LinkQuality links("a");
  AddPacketLoss(links, "a", 0, 2'000);
  cr_assert(links.Degradation("a", kStreams, kStreams, 2'000) == 0.0);
}

}  // namespace
}  // namespace meadowthread
