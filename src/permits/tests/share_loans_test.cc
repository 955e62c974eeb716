// Hosts that lend each other shares of servers' rates, while messages get lost
// and most requests come to one host.
#include "permits/share_loans.h"

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/manual_scheduler.h"

namespace meadowthread {
namespace {

constexpr int kHosts = 6;
constexpr double kRate = 6.0;
const std::vector<std::string> kServers = {"s-1", "s-2", "s-3", "s-4"};

/// @brief Delivers messages between hosts after some milliseconds.
struct Network {
  struct Message {
    std::string from;
    std::string to;
    std::string topic;
    nlohmann::json payload;
  };
  std::vector<Message> underway;
  int sent = 0;
};

class Channel final : public GossipChannel {
 public:
  Channel(Network& network, std::string self)
      : network(network), self(std::move(self)) {}
  void SendToRandom(std::string_view, const nlohmann::json&,
                    std::size_t) override {}
  void SendToHost(std::string_view topic, const nlohmann::json& payload,
                  std::string_view host) override {
    ++this->network.sent;
    this->network.underway.push_back(
        {this->self, std::string(host), std::string(topic), payload});
  }

 private:
  Network& network;
  std::string self;
};

struct Host {
  Host(const std::string& name, Network& network, const Clock& clock,
       std::mt19937_64& random, const std::vector<std::string>& names)
      : limiter(name),
        channel(network, name),
        loans(name, this->limiter, this->channel, clock, random,
              [names] { return names; }) {
    this->limiter.SetHosts(names);
    for (const std::string& server : kServers) {
      this->limiter.SetServer(server, {kRate, kRate}, 0);
    }
  }

  ServerRateLimiter limiter;
  Channel channel;
  ShareLoans loans;
};

/// @brief Hosts before servers that take kRate requests a second each.
struct Fleet {
  explicit Fleet(std::uint64_t seed) : random(seed) {
    std::vector<std::string> names;
    names.reserve(kHosts);
    for (int n = 0; n < kHosts; ++n) {
      names.push_back(absl::StrCat("h-", n));
    }
    for (const std::string& name : names) {
      this->hosts[name] = std::make_unique<Host>(
          name, this->network, this->clock, this->random, names);
    }
  }

  /// @brief Lets 5 ms pass, in which messages arrive.
  /// @param[in] lost share of the messages that get lost
  void Step(double lost) {
    this->clock.Advance(5);
    for (const Network::Message& message :
         std::exchange(this->network.underway, {})) {
      if (this->Uniform() < lost) {
        continue;
      }
      ShareLoans& to = this->hosts[message.to]->loans;
      message.topic == ShareLoans::kRequestTopic
          ? to.OnRequest(message.from, message.payload)
          : to.OnLoan(message.from, message.payload);
    }
  }
  double Uniform() {
    return std::uniform_real_distribution<>(0.0, 1.0)(this->random);
  }
  /// @brief A request at a host: sent to any server that may get it.
  bool Request(const std::string& name) {
    Host& host = *this->hosts[name];
    host.loans.PrepareFor(
        std::vector<std::string_view>(kServers.begin(), kServers.end()));
    const std::int64_t now_ms = this->clock.MonotonicMs();
    for (const std::string& server : kServers) {
      if (host.limiter.May(server, now_ms)) {
        host.limiter.NoteSent(server, now_ms);
        this->arrivals[server].push_back(now_ms);
        return true;
      }
    }
    return false;
  }
  std::size_t MostInASecond() const {
    std::size_t most = 0;
    for (const auto& [server, at_ms] : this->arrivals) {
      for (std::size_t first = 0, last = 0; last < at_ms.size(); ++last) {
        while (at_ms[last] - at_ms[first] >= 1'000) {
          ++first;
        }
        most = std::max(most, last - first + 1);
      }
    }
    return most;
  }

  ManualClock clock{1'790'000'000'000};
  std::mt19937_64 random;
  Network network;
  std::map<std::string, std::unique_ptr<Host>> hosts;
  std::map<std::string, std::vector<std::int64_t>> arrivals;
};

Test(a_host_with_most_requests, uses_the_shares_of_the_others) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Fleet fleet(seed);
    const double lost = seed % 2 == 0 ? 0.2 : 0.0;
    int asked = 0;
    int served = 0;
    for (int step = 0; step < 2'000; ++step) {
      fleet.Step(lost);
      if (fleet.Uniform() < 0.06) {  // 12 requests a second
        const bool is_elsewhere = fleet.Uniform() < 0.1;
        const bool is_served = fleet.Request(is_elsewhere ? "h-3" : "h-0");
        asked += is_elsewhere ? 0 : 1;
        served += !is_elsewhere && is_served ? 1 : 0;
      }
    }
    cr_assert(served * 4 >= asked * 3, "seed %d: %d of %d",
              static_cast<int>(seed), served, asked);
    cr_assert(fleet.MostInASecond() <= static_cast<std::size_t>(kRate),
              "seed %d: %zu in a second", static_cast<int>(seed),
              fleet.MostInASecond());
  }
}

// More is asked for than the servers take, everywhere at once.
Test(hosts_that_all_need_their_shares, stay_within_the_rate_together) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Fleet fleet(seed);
    for (int step = 0; step < 1'000; ++step) {
      fleet.Step(0.1);
      fleet.Request(absl::StrCat("h-", fleet.random() % kHosts));
    }
    cr_assert(fleet.MostInASecond() <= static_cast<std::size_t>(kRate),
              "seed %d: %zu in a second", static_cast<int>(seed),
              fleet.MostInASecond());
  }
}

Test(hosts_with_ample_shares, send_no_messages) {
  Fleet fleet(1);
  for (int step = 0; step < 400; ++step) {
    fleet.Step(0.0);
    if (step % 200 == 0) {
      fleet.Request("h-0");
    }
  }
  cr_assert(fleet.network.sent == 0, "%d", fleet.network.sent);
}

Test(a_malformed_message, lends_nothing) {
  Fleet fleet(1);
  for (const nlohmann::json& payload :
       {nlohmann::json(), nlohmann::json::array({1}),
        nlohmann::json::array({"s-1", "s-2"}),
        nlohmann::json::array({"unknown"})}) {
    fleet.hosts["h-1"]->loans.OnRequest("h-0", payload);
  }
  fleet.hosts["h-0"]->loans.OnLoan("h-1", nlohmann::json("s-1"));
  cr_assert(fleet.network.sent == 0);
  cr_assert(fleet.hosts["h-0"]->loans.Borrowed() == 0);
}

}  // namespace
}  // namespace meadowthread
