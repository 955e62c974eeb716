#ifndef MEADOWTHREAD_EXCHANGE_TESTS_FAKE_FLEET_H_
#define MEADOWTHREAD_EXCHANGE_TESTS_FAKE_FLEET_H_

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "exchange/exchanger.h"
#include "exchange/replicated_source.h"
#include "exchange/tests/fake_network.h"

namespace meadowthread::fake {

inline constexpr std::array<std::string_view, 2> kKinds = {kMarksKind,
                                                           kTemplatesKind};
inline constexpr std::int64_t kStartMs = 1000000;

/// @brief Numbers of hosts, zones and regions of a fake fleet.
struct FleetShape {
  int hosts = 9;
  int zones = 3;
  int regions = 1;
};

/// @brief One host with the real exchange on a fake network.
class FakeHost {
 public:
  FakeHost(const std::string& name, const PeerLocation& place,
           std::int64_t incarnation, const ExchangeSettings& settings,
           std::uint64_t seed, FakeNetwork& network, ManualScheduler& scheduler,
           const ManualClock& clock)
      : view(clock, kKinds),
        source(this->view),
        directory(name, place, PeerSettings{}, seed, clock),
        channel(network, name),
        exchanger(
            {name, incarnation}, settings, seed + 1,
            {this->source, this->directory, this->channel, scheduler, clock}) {
    network.Attach(
        name, [this](std::string_view method, std::string_view text) {
          return method == kOfferMethod ? this->exchanger.Offer(text)
                                        : this->exchanger.Exchange(text);
        });
  }

  /// @brief Applies an object as a watch of the object store delivers it, and
  /// reports the change to the exchange.
  void ReceiveFromStore(const StoredObject& item) {
    const std::int64_t since = this->view.Digest(item.kind).revision;
    this->view.ApplyList(item.kind, since, {item.version, {item}}, {});
    this->exchanger.NoteChange(item.kind);
  }

  std::int64_t VersionOf(const StoredObject& item) const {
    const StoredObject* const held = this->view.Find(item.kind, item.name);
    return held == nullptr ? 0 : held->version;
  }

  ReplicatedView view;
  ReplicatedSource source;
  PeerDirectory directory;
  FakeChannel channel;
  Exchanger exchanger;
};

/// @brief Hosts that all use the same host list.
class FakeFleet {
 public:
  FakeFleet(const FleetShape& fleet_shape,
            const ExchangeSettings& host_settings, std::uint64_t fleet_seed)
      : shape(fleet_shape), settings(host_settings), seed(fleet_seed) {
    for (int host = 0; host < this->shape.hosts; ++host) {
      this->entries.push_back(this->EntryOf(host));
    }
    for (int host = 0; host < this->shape.hosts; ++host) {
      this->hosts.push_back(nullptr);
      this->StartHost(host);
    }
  }

  /// @brief Starts a host, or restarts it with an empty view.
  void StartHost(int host) {
    const PeerEntry& entry = this->entries[static_cast<std::size_t>(host)];
    auto& slot = this->hosts[static_cast<std::size_t>(host)];
    ++this->starts;
    slot = std::make_unique<FakeHost>(
        entry.peer.name, entry.place, this->clock.WallMs() + this->starts,
        this->settings, this->seed * 1000003 + this->starts * 7919,
        this->network, this->scheduler, this->clock);
    slot->exchanger.SetHosts(this->entries);
    slot->exchanger.Start();
  }

  FakeHost& At(int host) {
    return *this->hosts[static_cast<std::size_t>(host)];
  }
  std::string NameOf(int host) const {
    return this->entries[static_cast<std::size_t>(host)].peer.name;
  }
  int Size() const { return this->shape.hosts; }

  /// @brief Advances virtual time by `for_ms` and runs the tasks that are due.
  void Run(std::int64_t for_ms) {
    this->RunUntil([] { return false; }, for_ms);
  }

  /// @brief Runs until `condition` holds, for at most `max_ms`.
  /// @return whether it holds
  template <class Condition>
  bool RunUntil(const Condition& condition, std::int64_t max_ms) {
    const std::int64_t end_ms = this->clock.MonotonicMs() + max_ms;
    while (!condition()) {
      if (this->scheduler.RunOne()) {
        continue;
      }
      if (this->clock.MonotonicMs() >= end_ms) {
        return false;
      }
      this->clock.Advance(1);
    }
    return true;
  }

  /// @brief How many of the hosts from `first` hold at least this version.
  int Holding(int first, const StoredObject& item) {
    int count = 0;
    for (int host = first; host < this->shape.hosts; ++host) {
      count += this->At(host).VersionOf(item) >= item.version ? 1 : 0;
    }
    return count;
  }

  /// @brief Runs until all hosts from `first` hold this version.
  bool RunUntilHeld(int first, const StoredObject& item, std::int64_t max_ms) {
    const int wanted = this->shape.hosts - first;
    return this->RunUntil([&] { return this->Holding(first, item) == wanted; },
                          max_ms);
  }

  ManualClock clock{kStartMs};
  ManualScheduler scheduler{&this->clock};
  FakeNetwork network{this->scheduler, 42};

 private:
  PeerEntry EntryOf(int host) const {
    const int zone = host % this->shape.zones;
    const int region = zone % this->shape.regions;
    return PeerEntry{
        {absl::StrCat("host-", host), "127.0.0.1", 1},
        {absl::StrCat("zone-", zone), absl::StrCat("region-", region)}};
  }

  FleetShape shape;
  ExchangeSettings settings;
  std::uint64_t seed;
  std::uint64_t starts = 0;
  std::vector<PeerEntry> entries;
  std::vector<std::unique_ptr<FakeHost>> hosts;
};

/// @brief Makes an object of a kind at a version.
inline StoredObject ObjectOf(std::string_view kind, const std::string& name,
                             std::int64_t version,
                             const std::string& value = "{}") {
  return StoredObject{std::string(kind), name, version, value, false};
}

}  // namespace meadowthread::fake

#endif  // MEADOWTHREAD_EXCHANGE_TESTS_FAKE_FLEET_H_
