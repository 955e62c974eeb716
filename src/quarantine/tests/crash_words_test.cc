// How hosts come to know the same, whatever gets lost.
#include "quarantine/crash_words.h"

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

/// @brief Hosts whose words the test carries, with losses.
class Fleet {
 public:
  Fleet(int hosts, double loss, std::uint64_t seed) : random(seed), loss(loss) {
    for (int n = 0; n < hosts; ++n) {
      this->hosts.push_back(std::make_unique<Host>(*this, n));
    }
  }

  void Start() {
    for (const auto& host : this->hosts) {
      host->words.Start();
    }
  }

  /// @brief A server ended under the content, as one host saw.
  void End(int host, const std::string& server) {
    CrashRecord record;
    record.id = {"makati", kContent};
    record.request = "r";
    record.ends = {{server, true, this->clock.WallMs()}};
    this->hosts.at(host)->book.Take(record, this->clock.WallMs());
  }

  void StartAnew(int host) {
    this->hosts.at(host) = std::make_unique<Host>(*this, host);
    this->hosts.at(host)->words.Start();
  }
  void SetCut(int host, bool is_cut) { this->hosts.at(host)->is_cut = is_cut; }

  void Pass(std::int64_t ms) {
    for (std::int64_t n = 0; n < ms; ++n) {
      this->clock.Advance(1);
      this->scheduler.RunDue();
    }
  }

  int CountQuarantined() const {
    int count = 0;
    for (const auto& host : this->hosts) {
      const CrashRecord* const record = host->book.Find({"makati", kContent});
      count += record != nullptr &&
                       Judge(*record, this->clock.WallMs()).in_quarantine
                   ? 1
                   : 0;
    }
    return count;
  }

  std::int64_t Bytes() const { return this->bytes; }

 private:
  struct Host final : public CrashChannel {
    Host(Fleet& fleet, int number)
        : fleet(fleet),
          number(number),
          words(this->book, *this, fleet.clock, fleet.scheduler,
                fleet.random()) {}

    void TellSome(std::string_view topic, const json& payload,
                  std::size_t count) override {
      for (std::size_t n = 0; n < count; ++n) {
        const auto others = static_cast<int>(this->fleet.hosts.size()) - 1;
        const int drawn = static_cast<int>(this->fleet.random() %
                                           static_cast<std::uint64_t>(others));
        this->fleet.Carry(*this, drawn >= this->number ? drawn + 1 : drawn,
                          topic, payload);
      }
    }
    void TellOne(std::string_view topic, const json& payload,
                 std::string_view host) override {
      int to = 0;
      cr_assert(absl::SimpleAtoi(std::string(host), &to));
      this->fleet.Carry(*this, to, topic, payload);
    }

    Fleet& fleet;
    int number;
    bool is_cut = false;
    CrashBook book;
    CrashWords words;
  };

  void Carry(const Host& from, int to, std::string_view topic,
             const json& payload) {
    this->bytes += std::ssize(payload.dump()) + 60;
    const bool is_lost =
        std::uniform_real_distribution<>(0.0, 1.0)(this->random) < this->loss;
    if (is_lost || from.is_cut) {
      return;
    }
    this->scheduler.After(1, [this, to, name = absl::StrCat(from.number),
                              about = std::string(topic), payload] {
      Host& host = *this->hosts.at(to);
      if (host.is_cut) {
        return;
      }
      if (about == CrashWords::kRecordsTopic) {
        host.words.TakeRecords(name, payload);
      } else {
        host.words.TakeDigest(name, payload);
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

// The time within which hosts in touch are to agree.
constexpr std::int64_t kContactMs = 3'000;

Test(what_three_hosts_saw, is_known_to_all_in_time_though_words_get_lost) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(9, 0.3, seed);
    fleet.Start();
    fleet.End(0, "s-1");
    fleet.End(1, "s-2");
    fleet.End(2, "s-3");
    fleet.Pass(kContactMs);
    cr_assert(fleet.CountQuarantined() == 9, "seed %d: %d",
              static_cast<int>(seed), fleet.CountQuarantined());
  }
}

Test(what_three_hosts_saw, is_known_to_hundreds_of_hosts_in_time) {
  constexpr int kHosts = 350;
  Fleet fleet(kHosts, 0.05, 7);
  fleet.Start();
  fleet.End(0, "s-1");
  fleet.End(100, "s-2");
  fleet.End(200, "s-3");
  fleet.Pass(kContactMs);
  cr_assert(fleet.CountQuarantined() == kHosts, "%d", fleet.CountQuarantined());
  // Of a node's 29 KB a second for control.
  const std::int64_t of_host = fleet.Bytes() * 1'000 / kContactMs / kHosts;
  cr_assert(of_host < 29'000, "%d bytes a second", static_cast<int>(of_host));
}

Test(a_host_that_was_cut_off, knows_in_time_when_it_is_back) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(9, 0.05, seed);
    fleet.Start();
    fleet.SetCut(4, true);
    for (const char* const server : {"s-1", "s-2", "s-3"}) {
      fleet.End(0, server);
    }
    fleet.Pass(10'000);
    cr_assert(fleet.CountQuarantined() == 8);
    fleet.SetCut(4, false);
    fleet.Pass(kContactMs);
    cr_assert(fleet.CountQuarantined() == 9);
  }
}

Test(hosts_that_start_anew_one_after_the_other, keep_what_they_know) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(9, 0.05, seed);
    fleet.Start();
    for (const char* const server : {"s-1", "s-2", "s-3"}) {
      fleet.End(0, server);
    }
    fleet.Pass(kContactMs);
    for (int host = 0; host < 9; ++host) {
      fleet.StartAnew(host);
      fleet.Pass(kContactMs);
    }
    cr_assert(fleet.CountQuarantined() == 9);
  }
}

Test(a_host_alone, bears_words_that_are_none) {
  Fleet fleet(2, 0.0, 1);
  ManualClock clock{1'790'000'000'000};
  ManualScheduler scheduler{&clock};
  CrashBook book;
  struct Silent final : public CrashChannel {
    void TellSome(std::string_view, const json&, std::size_t) override {}
    void TellOne(std::string_view, const json&, std::string_view) override {}
  } silent;
  CrashWords words(book, silent, clock, scheduler, 1);
  for (const json& wrong :
       {json("x"), json::array({1}), json::array({"x", true}),
        json::array({json::object()}), json::object()}) {
    words.TakeRecords("b", wrong);
    words.TakeDigest("b", wrong);
  }
  cr_assert(book.Size() == 0);
}

}  // namespace
}  // namespace meadowthread
