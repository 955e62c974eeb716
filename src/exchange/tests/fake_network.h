#ifndef MEADOWTHREAD_EXCHANGE_TESTS_FAKE_NETWORK_H_
#define MEADOWTHREAD_EXCHANGE_TESTS_FAKE_NETWORK_H_

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/manual_scheduler.h"
#include "exchange/rpc_channel.h"

namespace meadowthread::fake {

/// @brief Handles the calls to a host.
using Serve = std::function<absl::StatusOr<std::string>(
    std::string_view method, std::string_view params)>;

/// @brief Delivers calls between hosts of one process, with configurable
/// delays, loss, frozen hosts and partitions.
class FakeNetwork {
 public:
  /// @brief One-way delay between two hosts, in ms; negative: partitioned.
  using Delay =
      std::function<std::int64_t(const std::string&, const std::string&)>;

  FakeNetwork(ManualScheduler& manual, std::uint64_t seed)
      : scheduler(manual), random(seed) {}

  void Attach(const std::string& host, const Serve& serve) {
    this->hosts[host] = serve;
  }
  void SetDelay(const Delay& host_delay) { this->delay = host_delay; }
  void SetLoss(double share) { this->loss = share; }
  /// @brief Makes a host answer nothing and send nothing.
  void Freeze(const std::string& host) { this->frozen.insert(host); }
  void Thaw(const std::string& host) { this->frozen.erase(host); }

  std::size_t LargestRequest() const { return this->largest_request; }

  void Call(const std::string& from, const RpcPeer& peer,
            std::string_view method, std::string_view params,
            std::int64_t timeout_ms, const RpcDone& done) {
    this->largest_request = std::max(this->largest_request, params.size());
    const std::int64_t way_ms = this->delay(from, peer.name);
    if (way_ms < 0 || this->frozen.contains(peer.name) ||
        this->frozen.contains(from) || this->IsLost()) {
      this->TimeOut(peer, timeout_ms, done);
      return;
    }
    const std::string name(method);
    const std::string text(params);
    this->scheduler.After(
        way_ms, [this, peer, name, text, way_ms, timeout_ms, done] {
          const auto found = this->hosts.find(peer.name);
          if (found == this->hosts.end() || this->frozen.contains(peer.name)) {
            this->TimeOut(peer, timeout_ms - way_ms, done);
            return;
          }
          const absl::StatusOr<std::string> answer = found->second(name, text);
          if (this->IsLost()) {
            this->TimeOut(peer, timeout_ms - way_ms, done);
            return;
          }
          this->scheduler.After(way_ms, [done, answer] { done(answer); });
        });
  }

 private:
  bool IsLost() {
    return std::bernoulli_distribution(this->loss)(this->random);
  }

  void TimeOut(const RpcPeer& peer, std::int64_t after_ms,
               const RpcDone& done) {
    ErrorDetail detail;
    detail.id = ErrorId::kPeerTimeout;
    detail.peer = peer.name;
    const absl::Status status = MakeError(absl::StatusCode::kDeadlineExceeded,
                                          detail, "no answer in time");
    this->scheduler.After(after_ms, [done, status] { done(status); });
  }

  ManualScheduler& scheduler;
  std::mt19937_64 random;
  std::map<std::string, Serve> hosts;
  std::set<std::string> frozen;
  Delay delay = [](const std::string&, const std::string&) { return 1; };
  double loss = 0;
  std::size_t largest_request = 0;
};

/// @brief RpcChannel of one host on the fake network.
class FakeChannel final : public RpcChannel {
 public:
  FakeChannel(FakeNetwork& fake_network, std::string host)
      : network(fake_network), from(std::move(host)) {}

  void Call(const RpcPeer& peer, std::string_view method,
            std::string_view params, std::int64_t timeout_ms,
            const RpcDone& done) override {
    this->network.Call(this->from, peer, method, params, timeout_ms, done);
  }

 private:
  FakeNetwork& network;
  std::string from;
};

}  // namespace meadowthread::fake

#endif  // MEADOWTHREAD_EXCHANGE_TESTS_FAKE_NETWORK_H_
