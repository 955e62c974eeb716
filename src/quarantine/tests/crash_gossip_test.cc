// Convergence of crash records between hosts despite lost messages.
#include "quarantine/crash_gossip.h"

#include <criterion/criterion.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/manual_scheduler.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr char kContent[] = "0123456789abcdef0123456789abcdef";

/// @brief Hosts, and a network between them that loses messages.
class Fleet {
 public:
  Fleet(int hosts, double loss, std::uint64_t seed) : random(seed), loss(loss) {
    for (int n = 0; n < hosts; ++n) {
      this->hosts.push_back(std::make_unique<Host>(*this, n));
    }
  }

  void Start() {
    for (const auto& host : this->hosts) {
      host->gossip.Start();
    }
  }

  /// @brief One host observes a server crash on the content.
  void Crash(int host, const std::string& server) {
    CrashRecord record;
    record.id = {"makati", kContent};
    record.request = "r";
    record.crashes = {{server, true, this->clock.WallMs()}};
    this->hosts.at(host)->table.Apply(record, this->clock.WallMs());
  }

  void Restart(int host) {
    this->hosts.at(host) = std::make_unique<Host>(*this, host);
    this->hosts.at(host)->gossip.Start();
  }
  void SetUnreachable(int host, bool is_unreachable) {
    this->hosts.at(host)->is_unreachable = is_unreachable;
  }

  void Elapse(std::int64_t ms) {
    for (std::int64_t n = 0; n < ms; ++n) {
      this->clock.Advance(1);
      this->scheduler.RunDue();
    }
  }

  int CountQuarantined() const {
    int count = 0;
    for (const auto& host : this->hosts) {
      const CrashRecord* const record = host->table.Find({"makati", kContent});
      count += record != nullptr &&
                       Judge(*record, this->clock.WallMs()).in_quarantine
                   ? 1
                   : 0;
    }
    return count;
  }

  std::int64_t Bytes() const { return this->bytes; }

 private:
  struct Host final : public GossipChannel {
    Host(Fleet& fleet, int number)
        : fleet(fleet),
          number(number),
          gossip(this->table, *this, fleet.clock, fleet.scheduler,
                 fleet.random()) {}

    void SendToRandom(std::string_view topic, const json& payload,
                      std::size_t count) override {
      for (std::size_t n = 0; n < count; ++n) {
        const auto others = static_cast<int>(this->fleet.hosts.size()) - 1;
        const int target = static_cast<int>(this->fleet.random() %
                                            static_cast<std::uint64_t>(others));
        this->fleet.Deliver(*this, target >= this->number ? target + 1 : target,
                            topic, payload);
      }
    }
    void SendToHost(std::string_view topic, const json& payload,
                    std::string_view host) override {
      int to = 0;
      cr_assert(absl::SimpleAtoi(std::string(host), &to));
      this->fleet.Deliver(*this, to, topic, payload);
    }

    Fleet& fleet;
    int number;
    bool is_unreachable = false;
    CrashRecordTable table;
    CrashGossip gossip;
  };

  void Deliver(const Host& from, int to, std::string_view topic,
               const json& payload) {
    this->bytes += std::ssize(payload.dump()) + 60;
    const bool is_lost =
        std::uniform_real_distribution<>(0.0, 1.0)(this->random) < this->loss;
    if (is_lost || from.is_unreachable) {
      return;
    }
    this->scheduler.After(1, [this, to, name = absl::StrCat(from.number),
                              topic_name = std::string(topic), payload] {
      Host& host = *this->hosts.at(to);
      if (host.is_unreachable) {
        return;
      }
      if (topic_name == CrashGossip::kRecordsTopic) {
        host.gossip.OnRecords(name, payload);
      } else {
        host.gossip.OnDigest(name, payload);
      }
    });
  }

  ManualClock clock{1'790'000'000'000};
  ManualScheduler scheduler{&this->clock};
  std::mt19937_64 random;
  double loss;
  std::int64_t bytes = 0;
  std::vector<std::unique_ptr<Host>> hosts;
};

// Hosts that can reach each other must have equal records within this time.
constexpr std::int64_t kConvergenceMs = 3'000;

Test(crashes_seen_by_three_hosts, reach_all_in_time_despite_lost_messages) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(9, 0.3, seed);
    fleet.Start();
    fleet.Crash(0, "s-1");
    fleet.Crash(1, "s-2");
    fleet.Crash(2, "s-3");
    fleet.Elapse(kConvergenceMs);
    cr_assert(fleet.CountQuarantined() == 9, "seed %d: %d",
              static_cast<int>(seed), fleet.CountQuarantined());
  }
}

Test(crashes_seen_by_three_hosts, reach_hundreds_of_hosts_in_time) {
  constexpr int kHosts = 350;
  Fleet fleet(kHosts, 0.05, 7);
  fleet.Start();
  fleet.Crash(0, "s-1");
  fleet.Crash(100, "s-2");
  fleet.Crash(200, "s-3");
  fleet.Elapse(kConvergenceMs);
  cr_assert(fleet.CountQuarantined() == kHosts, "%d", fleet.CountQuarantined());
  // A host may use 29 KB/s for control traffic.
  const std::int64_t bytes_per_s =
      fleet.Bytes() * 1'000 / kConvergenceMs / kHosts;
  cr_assert(bytes_per_s < 29'000, "%d bytes a second",
            static_cast<int>(bytes_per_s));
}

Test(a_host_that_was_unreachable, catches_up_in_time) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(9, 0.05, seed);
    fleet.Start();
    fleet.SetUnreachable(4, true);
    for (const char* const server : {"s-1", "s-2", "s-3"}) {
      fleet.Crash(0, server);
    }
    fleet.Elapse(10'000);
    cr_assert(fleet.CountQuarantined() == 8);
    fleet.SetUnreachable(4, false);
    fleet.Elapse(kConvergenceMs);
    cr_assert(fleet.CountQuarantined() == 9);
  }
}

Test(a_rolling_restart, loses_no_records) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(9, 0.05, seed);
    fleet.Start();
    for (const char* const server : {"s-1", "s-2", "s-3"}) {
      fleet.Crash(0, server);
    }
    fleet.Elapse(kConvergenceMs);
    for (int host = 0; host < 9; ++host) {
      fleet.Restart(host);
      fleet.Elapse(kConvergenceMs);
    }
    cr_assert(fleet.CountQuarantined() == 9);
  }
}

Test(malformed_messages, are_ignored) {
  Fleet fleet(2, 0.0, 1);
  ManualClock clock{1'790'000'000'000};
  ManualScheduler scheduler{&clock};
  CrashRecordTable table;
  struct Silent final : public GossipChannel {
    void SendToRandom(std::string_view, const json&, std::size_t) override {}
    void SendToHost(std::string_view, const json&, std::string_view) override {}
  } silent;
  CrashGossip gossip(table, silent, clock, scheduler, 1);
  for (const json& wrong :
       {json("x"), json::array({1}), json::array({"x", true}),
        json::array({json::object()}), json::object()}) {
    gossip.OnRecords("b", wrong);
    gossip.OnDigest("b", wrong);
  }
  cr_assert(table.Size() == 0);
}

}  // namespace
}  // namespace meadowthread
