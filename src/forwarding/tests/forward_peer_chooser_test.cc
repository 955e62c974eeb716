// Which host is asked to send an attempt, where many have lost their paths.
#include "forwarding/forward_peer_chooser.h"

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace meadowthread {
namespace {

constexpr char kServer[] = "10.0.0.9:80";

struct ChooserFixture {
  explicit ChooserFixture(int near, int far = 0) {
    for (int n = 0; n < near + far; ++n) {
      ForwardPeer peer;
      peer.name = absl::StrCat(n < near ? "near-" : "far-", n);
      peer.zone = n < near ? "z" : "y";
      this->peers.push_back(peer);
    }
  }
  const ForwardPeer* Choose(const char* server = kServer) {
    return this->chooser.Choose(this->peers, server, this->asked);
  }
  /// @brief Asks hosts until one takes the attempt.
  /// @return how many hosts were asked
  int AskUntilTaken(const std::set<std::string>& pathless) {
    this->asked.clear();
    while (const ForwardPeer* const peer = this->Choose()) {
      this->asked.push_back(peer->name);
      if (!pathless.contains(peer->name)) {
        this->chooser.NoteAnswered(peer->name, kServer);
        break;
      }
      this->chooser.NoteRefused(peer->name, kServer, ForwardRefusal::kPathLost);
    }
    const int count = static_cast<int>(this->asked.size());
    this->asked.clear();
    return count;
  }

  ManualClock clock{1'000'000};
  std::mt19937_64 random{7};
  ForwardPeerChooser chooser{"z", this->clock, this->random};
  std::vector<ForwardPeer> peers;
  std::vector<std::string> asked;
};

// Three hosts in a row were asked that had said no a second ago.
Test(a_host_with_few_requests, remembers_who_has_lost_their_paths) {
  ChooserFixture fixture(23);
  std::set<std::string> pathless;
  for (int n = 0; n < 17; ++n) {
    pathless.insert(fixture.peers[static_cast<std::size_t>(n)].name);
  }
  fixture.AskUntilTaken(pathless);
  for (int n = 0; n < 8; ++n) {
    fixture.clock.Advance(1'000);
    cr_assert(fixture.AskUntilTaken(pathless) == 1, "request %d", n);
  }
}

Test(a_host_that_has_reached_a_server, is_asked_first) {
  ChooserFixture fixture(20);
  fixture.chooser.NoteAnswered("near-3", kServer);
  for (int n = 0; n < 10; ++n) {
    cr_assert(fixture.Choose()->name == "near-3");
  }
  fixture.chooser.NoteNotSent("near-3", kServer);
  for (int n = 0; n < 50; ++n) {
    cr_assert(fixture.Choose()->name != "near-3");
  }
}

Test(a_host_that_can_not_reach_one_server, is_asked_for_others) {
  ChooserFixture fixture(1);
  fixture.peers.push_back({"near-9", "", 0, "z", ""});
  fixture.chooser.NoteNotSent("near-0", kServer);
  for (int n = 0; n < 20; ++n) {
    cr_assert(fixture.Choose()->name == "near-9");
  }
  bool was_asked = false;
  for (int n = 0; n < 20; ++n) {
    was_asked = was_asked || fixture.Choose("10.0.0.8:80")->name == "near-0";
  }
  cr_assert(was_asked);
}

Test(hosts_of_the_own_zone, are_asked_while_most_of_them_are_fit) {
  ChooserFixture fixture(8, 24);
  for (int n = 0; n < 100; ++n) {
    cr_assert(fixture.Choose()->zone == "z");
  }
}

// The only host of a zone that had a path was asked by fourteen others, while
// hosts of other zones had nothing to do.
Test(the_last_host_of_a_zone, does_not_send_for_all_others) {
  ChooserFixture fixture(14, 45);
  for (int n = 1; n < 14; ++n) {
    fixture.chooser.NotePathLost(absl::StrCat("near-", n));
  }
  int near = 0;
  constexpr int kRequests = 1'400;
  for (int n = 0; n < kRequests; ++n) {
    const bool is_near = fixture.Choose()->zone == "z";
    near += is_near ? 1 : 0;
  }
  // Fourteen hosts have no path, and the last one bears twice its own share.
  cr_assert(near < kRequests / 5, "%d of %d", near, kRequests);
  cr_assert(near > 0);
}

Test(attempts, are_spread_over_the_hosts) {
  ChooserFixture fixture(8);
  std::map<std::string, int> running;
  for (int n = 0; n < 80; ++n) {
    const ForwardPeer* const peer = fixture.Choose();
    fixture.chooser.NoteStarted(peer->name);
    ++running[peer->name];
  }
  for (const auto& [name, count] : running) {
    cr_assert(count <= 14, "%s has %d", name.c_str(), count);
  }
  cr_assert(running.size() == 8);
}

Test(a_full_host, is_asked_again_soon) {
  ChooserFixture fixture(1);
  fixture.chooser.NoteRefused("near-0", kServer, ForwardRefusal::kFull);
  cr_assert(fixture.Choose() == nullptr);
  fixture.clock.Advance(500);
  cr_assert(fixture.Choose() != nullptr);
}

// Where no other host is left, one that has said no may have its path back.
Test(a_host_without_a_path, is_asked_if_there_is_no_other) {
  ChooserFixture fixture(1);
  fixture.chooser.NotePathLost("near-0");
  cr_assert(fixture.Choose() != nullptr);
  fixture.asked.emplace_back("near-0");
  cr_assert(fixture.Choose() == nullptr);
}

/// @brief Hosts in five zones, of which some have no path and send a request
/// each second.
struct Fleet {
  static constexpr int kZones = 5;

  /// @param[in] fit_in_first,fit_elsewhere hosts with a path, by zone
  Fleet(int hosts, int fit_in_first, int fit_elsewhere) {
    std::map<std::string, int> seen;
    for (int n = 0; n < hosts; ++n) {
      ForwardPeer peer;
      peer.name = std::to_string(n);
      peer.zone = std::to_string(n % kZones);
      const int fit = n % kZones == 0 ? fit_in_first : fit_elsewhere;
      if (seen[peer.zone]++ >= fit) {
        this->pathless[peer.name] = std::make_unique<ForwardPeerChooser>(
            peer.zone, this->clock, this->random);
      }
      this->peers.push_back(peer);
    }
  }
  /// @brief One request at each host without a path.
  /// @return how many hosts were asked in all
  int PlaySecond() {
    int asks = 0;
    for (const auto& [name, chooser] : this->pathless) {
      std::vector<std::string> asked = {name};
      while (const ForwardPeer* const peer =
                 chooser->Choose(this->peers, kServer, asked)) {
        ++asks;
        asked.push_back(peer->name);
        if (!this->pathless.contains(peer->name)) {
          chooser->NoteAnswered(peer->name, this->ServerOf(name));
          ++this->taken[peer->name];
          break;
        }
        chooser->NoteRefused(peer->name, kServer, ForwardRefusal::kPathLost);
      }
    }
    this->clock.Advance(1'000);
    return asks;
  }
  // Each request goes to another server, so that no host is preferred.
  std::string ServerOf(const std::string& name) {
    return "server of " + name + " " + std::to_string(++this->servers);
  }

  ManualClock clock{1'000'000};
  std::mt19937_64 random{5};
  std::vector<ForwardPeer> peers;
  std::map<std::string, std::unique_ptr<ForwardPeerChooser>> pathless;
  std::map<std::string, int> taken;  ///< attempts, by host
  int servers = 0;
};

// In the first zone one host of sixty has a path, in the others 25.
Test(three_hundred_hosts, find_those_with_a_path_and_spread_over_them) {
  Fleet fleet(300, 1, 25);
  const int first_asks = fleet.PlaySecond();
  int later_asks = 0;
  constexpr int kSeconds = 8;
  for (int n = 0; n < kSeconds; ++n) {
    later_asks = fleet.PlaySecond();
  }
  const int pathless = static_cast<int>(fleet.pathless.size());
  cr_assert(pathless == 199 && first_asks < 10 * pathless);
  cr_assert(later_asks < 2 * pathless, "%d asks of %d hosts", later_asks,
            pathless);
  const int seconds = kSeconds + 1;
  const double mean = static_cast<double>(pathless * seconds) / 101.0;
  cr_assert(fleet.taken["0"] < 5.0 * mean, "the last of its zone took %d",
            fleet.taken["0"]);
}

Test(nine_hosts, find_those_with_a_path) {
  Fleet fleet(9, 1, 1);
  fleet.PlaySecond();
  cr_assert(fleet.PlaySecond() <= 2 * static_cast<int>(fleet.pathless.size()));
}

}  // namespace
}  // namespace meadowthread
