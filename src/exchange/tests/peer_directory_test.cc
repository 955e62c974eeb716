#include "exchange/peer_directory.h"

#include <criterion/criterion.h>

#include <map>

#include "absl/strings/str_cat.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kStartMs = 5000;

PeerEntry EntryOf(const std::string& name, const std::string& zone,
                  const std::string& region, std::uint16_t port = 7000) {
  return {{name, "127.0.0.1", port}, {zone, region}};
}

struct DirectoryFixture {
  DirectoryFixture() {
    std::vector<PeerEntry> hosts = {EntryOf("self", "z0", "r0")};
    for (int host = 0; host < 5; ++host) {
      hosts.push_back(EntryOf(absl::StrCat("near-", host), "z0", "r0"));
      hosts.push_back(EntryOf(absl::StrCat("mid-", host), "z1", "r0"));
    }
    for (int host = 0; host < 100; ++host) {
      hosts.push_back(EntryOf(absl::StrCat("far-", host), "z2", "r1"));
    }
    this->directory.SetHosts(hosts);
  }

  ManualClock clock{kStartMs};
  PeerDirectory directory{"self", {"z0", "r0"}, {}, 3, this->clock};
};

Test(partners, are_mostly_near_however_many_are_far) {
  DirectoryFixture given;
  std::map<char, int> counts;
  for (int choice = 0; choice < 4000; ++choice) {
    for (const RpcPeer& peer : given.directory.Choose(1)) {
      cr_assert(peer.name != "self");
      ++counts[peer.name.front()];
    }
  }
  cr_assert(counts['n'] > 2200 && counts['n'] < 2600);
  cr_assert(counts['m'] > 850 && counts['m'] < 1150);
  cr_assert(counts['f'] > 480 && counts['f'] < 720);
}

Test(partners, are_never_chosen_twice_nor_while_a_call_is_in_progress) {
  DirectoryFixture given;
  given.directory.OnCallStarted("near-1");
  const std::vector<RpcPeer> all = given.directory.Choose(500);
  cr_assert(all.size() == 109);
  for (const RpcPeer& peer : all) {
    cr_assert(peer.name != "near-1");
  }
}

Test(a_silent_peer, is_chosen_only_for_probes_after_its_backoff) {
  ManualClock clock(kStartMs);
  PeerDirectory directory("self", {"z0", "r0"}, {}, 3, clock);
  const std::vector<PeerEntry> hosts = {EntryOf("a", "z0", "r0"),
                                        EntryOf("b", "z0", "r0"),
                                        EntryOf("c", "z0", "r0")};
  directory.SetHosts(hosts);
  directory.OnFailed("a");
  directory.OnFailed("a");
  cr_assert(directory.IsSuspected("a"));
  for (int choice = 0; choice < 40; ++choice) {
    for (const RpcPeer& peer : directory.Choose(2)) {
      cr_assert(peer.name != "a");
    }
  }
  clock.Advance(PeerSettings{}.backoff_max_ms);
  int probes = 0;
  for (int choice = 0; choice < 40; ++choice) {
    for (const RpcPeer& peer : directory.Choose(2)) {
      probes += peer.name == "a" ? 1 : 0;
    }
  }
  cr_assert(probes == 10, "%d", probes);
  cr_assert(directory.Counts().suspected == 1);
}

Test(a_restarted_peer, is_a_new_incarnation_and_trusted_again) {
  DirectoryFixture given;
  cr_assert(!given.directory.OnAnswered("mid-1", 100));
  given.directory.OnFailed("mid-1");
  given.directory.OnFailed("mid-1");
  cr_assert(given.directory.IsSuspected("mid-1"));
  cr_assert(!given.directory.SetSenderListener("mid-1", 99));
  cr_assert(given.directory.IsSuspected("mid-1"));
  cr_assert(given.directory.SetSenderListener("mid-1", 101));
  cr_assert(!given.directory.IsSuspected("mid-1"));
}

Test(the_host_list, keeps_the_history_of_hosts_that_stay) {
  DirectoryFixture given;
  const std::vector<PeerEntry> hosts = {EntryOf("near-1", "z0", "r0"),
                                        EntryOf("mid-1", "z1", "r0", 7001)};
  for (const char* const name : {"near-1", "mid-1"}) {
    given.directory.OnFailed(name);
    given.directory.OnFailed(name);
  }
  given.directory.SetHosts(hosts);
  cr_assert(given.directory.IsSuspected("near-1"));
  cr_assert(!given.directory.IsSuspected("mid-1"));
  cr_assert(!given.directory.IsKnown("far-1"));
}

}  // namespace
}  // namespace meadowthread
