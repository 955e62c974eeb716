// Changes of a long object in a simulated fleet: how many messages and bytes
// each host sends, and whether any has to read the object store.
#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/manual_scheduler.h"
#include "exchange/view_datagrams.h"

namespace meadowthread {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 1> kKinds = {"config"};
constexpr char kName[] = "main";
constexpr int kParts = 300;
constexpr std::int64_t kChangePeriodMs = 330;
constexpr std::int64_t kSettleMs = 3'000;

std::string Document(std::int64_t version) {
  std::string text = absl::StrCat("{\"version\": ", version, ", \"parts\": [");
  for (int n = 0; n < kParts; ++n) {
    absl::StrAppend(
        &text, "{\"route\": \"route-", n, "\", \"key\": \"", n * 7'919 % 10'007,
        "\", \"limit\": ", n == version % kParts ? version : n, "},");
  }
  return text + "]}";
}

/// @brief Hosts that all know the first version of a long object.
class Fleet {
 public:
  explicit Fleet(int size, double loss = 0.02) : loss(loss) {
    for (int n = 0; n < size; ++n) {
      this->hosts.push_back(std::make_unique<Host>(*this, n));
    }
    for (const auto& host : this->hosts) {
      this->Read(*host, 1);
    }
    this->Pass(kSettleMs);
    for (const auto& host : this->hosts) {
      host->sent_bytes = 0;
      host->sent = 0;
      host->store_reads = 0;
    }
  }

  /// @brief Lets one host read a new version, as from the object store.
  void Change(int host, std::int64_t version) {
    this->Read(*this->hosts[static_cast<std::size_t>(host)], version);
  }
  void Pass(std::int64_t ms) {
    for (std::int64_t n = 0; n < ms; ++n) {
      this->clock.Advance(1);
      this->scheduler.RunDue();
    }
  }
  void CutOff(int host, bool is_cut_off) {
    this->hosts[static_cast<std::size_t>(host)]->is_cut_off = is_cut_off;
  }

  int HoldingVersion(std::int64_t version) const {
    return static_cast<int>(std::count_if(
        this->hosts.begin(), this->hosts.end(), [version](const auto& host) {
          return host->Version() == version &&
                 host->view.Find("config", kName)->value == Document(version);
        }));
  }
  int StoreReads() const {
    int reads = 0;
    for (const auto& host : this->hosts) {
      reads += host->store_reads;
    }
    return reads;
  }
  int StoreReadsOf(int host) const {
    return this->hosts[static_cast<std::size_t>(host)]->store_reads;
  }
  double BytesPerHost() const {
    double bytes = 0.0;
    for (const auto& host : this->hosts) {
      bytes += static_cast<double>(host->sent_bytes);
    }
    return bytes / static_cast<double>(this->hosts.size());
  }

 private:
  struct Host final : GossipChannel {
    Host(Fleet& fleet, int number)
        : fleet(fleet),
          name(absl::StrCat("front-", number)),
          view(fleet.clock, kKinds),
          datagrams(
              std::vector<std::string>{"config"}, this->view, *this,
              fleet.scheduler,
              [this](std::string_view) { ++this->store_reads; },
              [](std::string_view) {}) {}

    void SendToRandom(std::string_view topic, const json& payload,
                      std::size_t count) override {
      for (std::size_t n = 0; n < count; ++n) {
        this->fleet.Deliver(this, this->fleet.AnyHost(), topic, payload);
      }
    }
    void SendToHost(std::string_view topic, const json& payload,
                    std::string_view to) override {
      this->fleet.Deliver(this, this->fleet.HostNamed(to), topic, payload);
    }
    std::int64_t Version() const {
      const StoredObject* const object = this->view.Find("config", kName);
      return object == nullptr ? 0 : object->version;
    }

    Fleet& fleet;
    std::string name;
    ReplicatedView view;
    ViewDatagrams datagrams;
    bool is_cut_off = false;
    std::int64_t sent_bytes = 0;
    int sent = 0;
    int store_reads = 0;
  };

  void Read(Host& host, std::int64_t version) {
    host.view.ApplyList(
        "config", 0, {version, {{"config", kName, version, Document(version)}}},
        {});
  }
  Host* AnyHost() {
    return this->hosts[this->random() % this->hosts.size()].get();
  }
  Host* HostNamed(std::string_view name) {
    return std::find_if(this->hosts.begin(), this->hosts.end(),
                        [name](const auto& host) { return host->name == name; })
        ->get();
  }
  void Deliver(Host* from, Host* to, std::string_view topic,
               const json& payload) {
    from->sent_bytes += std::ssize(json::to_cbor(payload));
    ++from->sent;
    const bool is_lost =
        std::uniform_real_distribution<>()(this->random) < this->loss;
    if (is_lost || from->is_cut_off || to->is_cut_off) {
      return;
    }
    const auto delay_ms = static_cast<std::int64_t>(1 + this->random() % 4);
    this->scheduler.After(
        delay_ms, [to, topic = std::string(topic), name = from->name, payload] {
          cr_assert(to->datagrams.OnMessage(topic, name, payload).ok());
        });
  }

  double loss;
  ManualClock clock{1'000'000};
  ManualScheduler scheduler{&this->clock};
  std::mt19937_64 random{7};
  std::vector<std::unique_ptr<Host>> hosts;
};

/// @brief Changes in quick succession, each read from the store by one host.
void ChangeOften(Fleet* fleet, std::int64_t last_version) {
  for (std::int64_t version = 2; version <= last_version; ++version) {
    fleet->Change(static_cast<int>(version) % 5, version);
    fleet->Pass(kChangePeriodMs);
  }
}

Test(changes_of_a_long_object, reach_all_hosts_without_reads_of_the_store) {
  for (const int hosts : {9, 64, 1'024}) {
    Fleet fleet(hosts);
    ChangeOften(&fleet, 6);
    fleet.Pass(kSettleMs);
    cr_assert(fleet.HoldingVersion(6) == hosts, "%d of %d hosts",
              fleet.HoldingVersion(6), hosts);
    cr_assert(fleet.StoreReads() == 0, "%d reads by %d hosts",
              fleet.StoreReads(), hosts);
  }
}

Test(changes_of_a_long_object, cost_each_host_the_same_in_a_large_fleet) {
  constexpr double kAllowedGrowth = 1.2;
  Fleet small(64);
  ChangeOften(&small, 6);
  Fleet large(1'024);
  ChangeOften(&large, 6);
  cr_assert(large.BytesPerHost() <= kAllowedGrowth * small.BytesPerHost(),
            "%.0f and %.0f bytes", small.BytesPerHost(), large.BytesPerHost());
  // Far below the length of the object for each change.
  cr_assert(large.BytesPerHost() < static_cast<double>(Document(1).size()));
}

// Two hosts that read the store at different times make patches with different
// beginnings.
Test(changes_of_a_long_object, reach_hosts_that_missed_some_of_them) {
  Fleet fleet(30);
  fleet.CutOff(29, true);
  ChangeOften(&fleet, 4);
  fleet.CutOff(29, false);
  fleet.Change(1, 5);
  fleet.Pass(kSettleMs);
  cr_assert(fleet.HoldingVersion(5) == 30, "%d hosts", fleet.HoldingVersion(5));
}

Test(a_host_that_nobody_can_help, reads_the_store) {
  Fleet fleet(2, 0.0);
  fleet.CutOff(1, true);
  // More versions than a host keeps patches for.
  for (std::int64_t version = 2; version < 40; ++version) {
    fleet.Change(0, version);
  }
  fleet.CutOff(1, false);
  fleet.Change(0, 40);
  fleet.Pass(kSettleMs);
  cr_assert(fleet.StoreReadsOf(1) == 1);
}

}  // namespace
}  // namespace meadowthread
