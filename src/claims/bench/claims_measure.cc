// Prints the figures of docs/design/claims.md: the effect of group commit,
// write conflicts by number of hosts and shards with and without forwarding,
// entry sizes, CPU time, and the reads that a host needs to take over a shard.
// It runs in virtual time with a fixed seed, so only the column cpu_us depends
// on the machine.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/manual_scheduler.h"
#include "claims/claim_key.h"
#include "claims/store_claim_service.h"
#include "store/memory_store.h"

namespace meadowthread {
namespace {

constexpr std::int64_t kStartMs = 1'700'000'000'000;
constexpr std::int64_t kStoreOneWayMs = 2;    // one way to the object API
constexpr std::int64_t kForwardOneWayMs = 1;  // one way between hosts
constexpr std::int64_t kRequestServiceMs = 50;
constexpr std::size_t kResultBytes = 300;

/// @brief An object store with a network delay: a call takes effect after one
/// one-way delay, and its reply arrives after two.
class TimedStore final : public ObjectStore {
 public:
  explicit TimedStore(Scheduler* scheduler) : scheduler(scheduler) {}

  void Get(std::string_view kind, std::string_view name,
           const GetDone& done) override {
    this->AfterOneWay([this, kind = std::string(kind), name = std::string(name),
                       done] {
      this->store.Get(
          kind, name, [this, done](const absl::StatusOr<StoredObject>& answer) {
            this->bytes_read += answer.ok() ? answer->value.size() : 0;
            this->AfterOneWay([done, answer] { done(answer); });
          });
      this->store.Settle();
    });
  }

  void Put(std::string_view kind, std::string_view name, std::string_view value,
           std::int64_t version, const PutDone& done) override {
    this->bytes_written += value.size();
    this->AfterOneWay([this, kind = std::string(kind), name = std::string(name),
                       value = std::string(value), version, done] {
      this->store.Put(kind, name, value, version,
                      [this, done](const absl::StatusOr<std::int64_t>& answer) {
                        this->conflicts += answer.ok() ? 0 : 1;
                        this->AfterOneWay([done, answer] { done(answer); });
                      });
      this->store.Settle();
    });
  }

  void Delete(std::string_view kind, std::string_view name,
              std::int64_t version, const PutDone& done) override {
    this->store.Delete(kind, name, version, done);
    this->store.Settle();
  }
  void List(std::string_view kind, std::int64_t since,
            const ListDone& done) override {
    this->store.List(kind, since, done);
  }
  void Watch(std::string_view kind, std::int64_t since, std::int64_t wait_ms,
             const ListDone& done) override {
    this->store.Watch(kind, since, wait_ms, done);
  }

  MemoryStore store;
  std::int64_t conflicts = 0;
  std::size_t bytes_written = 0;
  std::size_t bytes_read = 0;

 private:
  void AfterOneWay(std::function<void()> task) {
    this->scheduler->After(kStoreOneWayMs, std::move(task));
  }

  Scheduler* scheduler;
};

/// @brief Forwards operations between the hosts of one run, with a delay.
class DirectForwarder final : public ClaimForwarder {
 public:
  DirectForwarder(Scheduler* scheduler, int self, int hosts,
                  std::vector<std::unique_ptr<StoreClaimService>>* services)
      : scheduler(scheduler), self(std::to_string(self)), services(services) {
    for (int i = 0; i < hosts; ++i) {
      this->names.push_back(std::to_string(i));
    }
  }

  std::string PreferredHost(std::uint32_t shard) const override {
    const std::string_view host = RendezvousHost(shard, this->names);
    return host == this->self ? "" : std::string(host);
  }

  void Forward(std::string_view host, const ForwardedOp& op,
               const ForwardDone& done) override {
    const std::size_t index = std::stoul(std::string(host));
    this->scheduler->After(kForwardOneWayMs, [this, index, op, done] {
      (*this->services)[index]->ReceiveForwardedOp(
          op, [this, done](const absl::StatusOr<ForwardedAnswer>& answer) {
            this->scheduler->After(kForwardOneWayMs,
                                   [done, answer] { done(answer); });
          });
    });
  }

 private:
  Scheduler* scheduler;
  std::string self;
  std::vector<std::string> names;
  std::vector<std::unique_ptr<StoreClaimService>>* services;
};

struct Load {
  int hosts = 1;
  int shards = 8;
  double requests_per_s = 100;
  bool forwards = false;
  std::int64_t seconds = 5;
  std::size_t segment_bytes = std::size_t{64} * 1024;
};

/// @brief Hosts under a steady load of requests that must run at most once,
/// each with a claim and a recorded result.
class Measurement {
 public:
  explicit Measurement(const Load& load) : load(load) {
    for (int i = 0; i < load.hosts; ++i) {
      this->forwarders.push_back(std::make_unique<DirectForwarder>(
          &this->scheduler, i, load.hosts, &this->services));
    }
    for (int i = 0; i < load.hosts; ++i) {
      this->services.push_back(this->NewService(i));
    }
  }

  std::unique_ptr<StoreClaimService> NewService(int host) {
    ClaimDependencies dependencies;
    dependencies.store = &this->store;
    dependencies.scheduler = &this->scheduler;
    dependencies.clock = &this->clock;
    dependencies.settings.shards = this->load.shards;
    dependencies.settings.segment_bytes = this->load.segment_bytes;
    dependencies.settings.host = "entry-" + std::to_string(host);
    ClaimForwarder* const forwarder =
        this->load.forwards
            ? this->forwarders[static_cast<std::size_t>(host)].get()
            : nullptr;
    return std::make_unique<StoreClaimService>(dependencies, forwarder);
  }

  void Run() {
    std::poisson_distribution<int> arrivals(this->load.requests_per_s / 1000.0);
    const auto begin = std::chrono::steady_clock::now();
    for (std::int64_t ms = 0; ms < this->load.seconds * 1000; ++ms) {
      for (int i = arrivals(this->random); i > 0; --i) {
        this->Submit();
      }
      this->Advance();
    }
    for (int ms = 0; ms < 3'000; ++ms) {
      this->Advance();
    }
    this->cpu_s =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
            .count();
  }

  void PrintRow() {
    std::ranges::sort(this->waits_ms);
    const auto seconds = static_cast<double>(this->load.seconds);
    const auto count = static_cast<double>(this->waits_ms.size());
    const int writes = this->store.store.WriteCalls();
    std::printf(
        "%5d %6d %8.0f %7s | %8.0f %9.1f %8.0f %8.1f %7.2f %7.2f | %5ld %5ld "
        "%5ld | %7d %7.1f\n",
        this->load.hosts, this->load.shards, this->load.requests_per_s,
        this->load.forwards ? "yes" : "no", writes / seconds,
        100.0 * static_cast<double>(this->store.conflicts) / writes,
        this->store.store.ReadCalls() / seconds, 2 * count / writes,
        static_cast<double>(this->store.bytes_written) / seconds / 1e6,
        static_cast<double>(this->store.bytes_read) / seconds / 1e6,
        this->WaitQuantileMs(0.5), this->WaitQuantileMs(0.95),
        this->WaitQuantileMs(0.99), this->refused,
        1e6 * this->cpu_s / std::max(count, 1.0));
  }

  /// @brief Restarts host 0 and submits one claim to it.
  /// @return the number of store reads until the claim was answered
  int Takeover(KeyForm form) {
    this->services[0] = this->NewService(0);
    const int before = this->store.store.ReadCalls();
    this->form = form;
    this->Submit();
    const std::int64_t begin_ms = this->clock.WallMs();
    const std::size_t answered = this->waits_ms.size();
    while (this->waits_ms.size() == answered && this->refused == 0) {
      this->Advance();
    }
    this->takeover_ms = this->clock.WallMs() - begin_ms;
    return this->store.store.ReadCalls() - before;
  }

  std::int64_t takeover_ms = 0;
  int refused = 0;
  TimedStore& Store() { return this->store; }
  ManualClock& VirtualClock() { return this->clock; }

 private:
  void Advance() {
    this->clock.Advance(1);
    this->scheduler.RunDue();
  }

  std::int64_t WaitQuantileMs(double quantile) const {
    const auto count = static_cast<double>(this->waits_ms.size());
    return this->waits_ms.empty() ? -1
                                  : this->waits_ms[static_cast<std::size_t>(
                                        quantile * (count - 1))];
  }

  void Submit() {
    const std::size_t host =
        this->random() % static_cast<unsigned>(this->load.hosts);
    const std::int64_t now_ms = this->clock.WallMs();
    ClaimRequest request;
    request.workspace = "lukot";
    request.key =
        std::to_string(now_ms / 1000) + "-" + std::to_string(++this->submitted);
    request.key_form = this->form;
    request.deadline_unix_ms = now_ms + 10'000;
    this->services[host]->Claim(
        request,
        [this, host, now_ms](const absl::StatusOr<ClaimAnswer>& answer) {
          if (!answer.ok()) {
            ++this->refused;
            return;
          }
          this->waits_ms.push_back(this->clock.WallMs() - now_ms);
          const ClaimGrant grant = std::get<ClaimGrant>(*answer);
          this->scheduler.After(kRequestServiceMs, [this, host, grant] {
            this->services[host]->RecordResult(
                grant,
                {200, "application/json", std::string(kResultBytes, 'r')},
                [](const absl::Status&) {});
          });
        });
  }

  Load load;
  ManualClock clock{kStartMs};
  ManualScheduler scheduler{&this->clock};
  TimedStore store{&this->scheduler};
  std::vector<std::unique_ptr<DirectForwarder>> forwarders;
  std::vector<std::unique_ptr<StoreClaimService>> services;
  std::mt19937 random{7};
  std::vector<std::int64_t> waits_ms;
  KeyForm form = KeyForm::kTimed;
  int submitted = 0;
  double cpu_s = 0;
};

void PrintTableHeader() {
  std::printf(
      "hosts shards requests forward | writes/s conflict%% reads/s  "
      "ops/write MB/s out MB/s in | p50ms p95ms p99ms | refused cpu_us\n");
}

void PrintEntrySizes() {
  constexpr int kEntries = 100'000;
  ClaimSegment segment;
  for (int i = 0; i < kEntries; ++i) {
    ClaimEntry entry;
    entry.key_hash = KeyHash("lukot", std::to_string(i));
    entry.nonce = NewNonce();
    entry.host = "entry-7";
    entry.unix_ms = kStartMs;
    segment.entries.push_back(entry);
    entry.kind = EntryKind::kResult;
    entry.result = {200, "application/json", std::string(kResultBytes, 'r')};
    segment.entries.push_back(entry);
  }
  ClaimSegment claims;
  for (std::size_t i = 0; i < segment.entries.size(); i += 2) {
    claims.entries.push_back(segment.entries[i]);
  }
  const std::size_t claim_bytes = EncodeSegment(claims).size() / kEntries;
  const std::size_t both_bytes = EncodeSegment(segment).size() / kEntries;
  const std::size_t before = mallinfo2().uordblks;
  auto index = std::make_unique<ClaimIndex>();
  index->Add(segment, 0);
  const std::size_t index_bytes = mallinfo2().uordblks - before;
  std::printf(
      "bytes: claim %zu, result of %zu body bytes %zu; index per request "
      "(claim and result) %zu\n",
      claim_bytes, kResultBytes, both_bytes - claim_bytes,
      index_bytes / kEntries);
}

void MeasureTakeovers() {
  for (const double rate : {45.0, 90.0, 181.0}) {
    Load load;
    load.shards = 1;
    load.requests_per_s = rate;
    load.seconds = 90;
    Measurement measurement(load);
    measurement.Run();
    const int timed = measurement.Takeover(KeyForm::kTimed);
    const std::int64_t timed_ms = measurement.takeover_ms;
    const int opaque = measurement.Takeover(KeyForm::kOpaque);
    std::printf(
        "takeover of a shard after 90 s of %.0f requests/s: timed key %d reads "
        "%ld ms, opaque key %d reads %ld ms\n",
        rate, timed, timed_ms, opaque, measurement.takeover_ms);
  }
}

void MeasureLoad(const Load& load) {
  Measurement measurement(load);
  measurement.Run();
  measurement.PrintRow();
}

int Main() {
  PrintEntrySizes();
  MeasureTakeovers();
  PrintTableHeader();
  for (const int hosts : {1, 2, 3, 6, 9}) {
    for (const bool forwards : {false, true}) {
      MeasureLoad({hosts, 8, 100, forwards});
    }
  }
  for (const double rate : {50.0, 100.0, 200.0, 400.0, 800.0}) {
    MeasureLoad({9, 8, rate, true});
  }
  for (const int hosts : {9}) {
    for (const bool forwards : {false, true}) {
      MeasureLoad({hosts, 32, 1450, forwards, 2});
    }
  }
  for (const double rate : {1450.0, 2900.0}) {
    for (const int shards : {8, 16, 32}) {
      MeasureLoad({350, shards, rate, true, 2});
    }
  }
  for (const std::size_t segment : {8, 16, 32, 64}) {
    MeasureLoad({350, 8, 1450, true, 2, segment * 1024});
  }
  return 0;
}

}  // namespace
}  // namespace meadowthread

int main() { return meadowthread::Main(); }
