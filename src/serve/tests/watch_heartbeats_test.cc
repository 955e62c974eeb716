// Hosts that lose all watchers of the store at the same moment.
#include "serve/watch_heartbeats.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "base/manual_scheduler.h"
#include "serve/watcher_selection.h"

namespace meadowthread {
namespace {

/// @brief A fleet whose hosts all see each other at first, and none of which
/// notices the loss of others except by missing heartbeats.
class HeartbeatFleet {
 public:
  explicit HeartbeatFleet(int hosts, double loss = 0.0) : loss(loss) {
    for (int n = 0; n < hosts; ++n) {
      this->names.push_back("entry-" + std::to_string(n));
    }
    for (const std::string& name : this->names) {
      this->hosts.emplace(name, std::make_unique<Host>(*this, name));
    }
    for (auto& [name, host] : this->hosts) {
      host->heartbeats.Start();
    }
  }

  void Run(std::int64_t ms) {
    for (std::int64_t past = 0; past < ms; past += kStepMs) {
      this->clock.Advance(kStepMs);
      this->scheduler.RunDue();
    }
  }

  void LoseAllWatchers() {
    for (auto& [name, host] : this->hosts) {
      host->is_lost = host->IsWatcher();
    }
  }

  /// @brief The hosts that are not lost and do not watch.
  int Others() const {
    return this->Count(
        [](const Host& host) { return !host.is_lost && !host.IsWatcher(); });
  }
  int OthersThatRead() const {
    return this->Count(
        [](const Host& host) { return !host.is_lost && host.reads > 0; });
  }
  int Reads() const {
    int reads = 0;
    for (const auto& [name, host] : this->hosts) {
      reads += host->reads;
    }
    return reads;
  }
  int MostSentByOne() const {
    int most = 0;
    for (const auto& [name, host] : this->hosts) {
      most = std::max(most, host->sent);
    }
    return most;
  }

 private:
  static constexpr std::int64_t kStepMs = 10;

  struct Host final : GossipChannel {
    Host(HeartbeatFleet& fleet, std::string name)
        : fleet(fleet),
          name(std::move(name)),
          heartbeats({[this] { return this->IsWatcher(); },
                      [this] { return this->Recipients(); },
                      [] { return nlohmann::json::array(); },
                      [this] { ++this->reads; }},
                     *this, fleet.clock, fleet.scheduler) {}

    std::vector<WatchPeer> Peers() const {
      std::vector<WatchPeer> peers;
      for (const std::string& peer : this->fleet.names) {
        if (peer != this->name) {
          peers.push_back({peer});
        }
      }
      return peers;
    }
    bool IsWatcher() const {
      return WatcherIndex(this->name, this->Peers(), this->fleet.names.size())
          .has_value();
    }
    std::vector<std::string> Recipients() const {
      return HeartbeatRecipients(this->name, this->Peers(),
                                 this->fleet.names.size());
    }

    void SendToRandom(std::string_view, const nlohmann::json&,
                      std::size_t) override {}
    void SendToHost(std::string_view, const nlohmann::json&,
                    std::string_view host) override {
      ++this->sent;
      std::bernoulli_distribution is_lost_on_way(this->fleet.loss);
      if (!this->is_lost && !is_lost_on_way(this->fleet.random)) {
        this->fleet.hosts.at(std::string(host))->heartbeats.NoteHeard();
      }
    }

    HeartbeatFleet& fleet;
    std::string name;
    bool is_lost = false;
    int reads = 0;
    int sent = 0;
    WatchHeartbeats heartbeats;
  };

  template <typename Condition>
  int Count(Condition condition) const {
    return static_cast<int>(std::count_if(
        this->hosts.begin(), this->hosts.end(),
        [&](const auto& entry) { return condition(*entry.second); }));
  }

  double loss;
  std::mt19937_64 random{1};
  ManualClock clock{1'000'000};
  ManualScheduler scheduler{&this->clock};
  std::vector<std::string> names;
  std::map<std::string, std::unique_ptr<Host>> hosts;
};

// Guards against changes that are in force too late: with all watchers gone,
// the others read the store only once the exchange had missed them twice.
Test(hosts_that_lose_all_watchers_at_once, read_the_store_within_a_second) {
  for (const int hosts : {6, 9, 33, 300}) {
    HeartbeatFleet fleet(hosts);
    fleet.Run(5'000);
    cr_assert(fleet.Reads() == 0, "%d hosts", hosts);
    fleet.LoseAllWatchers();
    fleet.Run(1'000);
    cr_assert(fleet.OthersThatRead() == fleet.Others(), "%d hosts", hosts);
    cr_assert(fleet.Others() > 0);
  }
}

Test(heartbeats_of_watchers, cost_one_host_little_in_a_large_fleet) {
  constexpr std::int64_t kSeconds = 10;
  HeartbeatFleet fleet(300);
  fleet.Run(kSeconds * 1'000);
  // With headers, some 60 bytes each, of 29 kB a second for all control.
  cr_assert(fleet.MostSentByOne() <= 300 * kSeconds);
}

Test(heartbeats_of_watchers, may_get_lost_now_and_then) {
  HeartbeatFleet fleet(9, 0.05);
  fleet.Run(60'000);
  cr_assert(fleet.Reads() == 0);
}

}  // namespace
}  // namespace meadowthread
