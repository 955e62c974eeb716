#include "driver.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <queue>
#include <random>
#include <utility>

#include "measures.h"
#include "policy/dispatcher.h"

namespace meadowthread::bench {
namespace {

constexpr std::int64_t kMs = 1'000;
constexpr std::int64_t kSecond = 1'000 * kMs;
constexpr std::int64_t kTickUs = 50 * kMs;
constexpr std::int64_t kNotesUs = 200 * kMs;
constexpr std::int64_t kReportUs = kSecond;
constexpr std::int64_t kReportLagUs = 700 * kMs;
constexpr std::int64_t kExchangeUs = 500 * kMs;
constexpr std::int64_t kExchangeLagUs = 50 * kMs;
constexpr std::int64_t kCacheLagUs = 2 * kSecond;
constexpr std::uint64_t kCacheEventsLostOneIn = 5;
constexpr std::int64_t kSilentUs = 2 * kSecond;  ///< then taken as stalled

struct Decider {
  std::unique_ptr<LengthModel> lengths;
  std::unique_ptr<EngineChooser> chooser;
  std::unique_ptr<FleetState> fleet;
  std::unique_ptr<Dispatcher> dispatcher;
};

struct Stream {
  int decider = -1;
  int engine = -1;
  std::int64_t generated = 0;
  std::int64_t last_token_us = 0;
};

struct EngineSlot {
  bool stepping = false;
  bool up = true;
  bool leaving = false;
  std::int64_t stalled_until_us = 0;
  std::int64_t heard_us = 0;  ///< last token seen of it
  std::uint32_t incarnation = 1;
};

/// One event loop over virtual time: engines, deciders and what lies between.
class Simulation final : public EngineListener, public TrueState {
 public:
  Simulation(const Deployment& deployment, const PolicyFactory& policy,
             const RunSettings& settings)
      : deployment(deployment),
        settings(settings),
        arrivals(MakeArrivals(deployment, settings.tokens_per_second,
                              settings.duration_us, settings.seed)),
        streams(arrivals.size()),
        slots(static_cast<std::size_t>(deployment.engines)),
        random(settings.seed ^ 0x9e3779b97f4a7c15U) {
    for (int i = 0; i < deployment.engines; ++i) {
      this->engines.push_back(
          std::make_unique<FakeEngine>(deployment.shape, *this));
    }
    for (int i = 0; i < settings.deciders; ++i) {
      this->AddDecider(policy);
    }
    this->share_loads = policy.SharesLoads();
  }

  RunResult RunAll() {
    this->Start();
    while (!this->events.empty()) {
      const Event event = this->events.top();
      if (event.at_us > this->settings.duration_us) {
        break;
      }
      this->events.pop();
      this->now_us = event.at_us;
      this->measures.SetOn(this->now_us >= this->settings.warm_up_us);
      event.action();
    }
    this->NoteOpenGaps();
    return this->measures.Summary(this->settings.duration_us -
                                  this->settings.warm_up_us);
  }

  const std::vector<std::unique_ptr<FakeEngine>>& Engines() const override {
    return this->engines;
  }
  const Arrival& ArrivalOf(const std::string& request) const override {
    return this->arrivals[NumberOf(request)];
  }

  // -------------------------------------------------- what engines tell

  void OnToken(const Job& job, std::int64_t now) override {
    Stream& stream = this->streams[job.id];
    if (job.generated == 1) {
      this->measures.First(this->arrivals[job.id], now);
    } else {
      this->measures.Gap(now - stream.last_token_us);
    }
    stream.generated = job.generated;
    stream.last_token_us = now;
    this->slots[static_cast<std::size_t>(stream.engine)].heard_us = now;
  }

  void OnEnd(const Job& job, std::int64_t) override {
    this->measures.Completed(job.generated);
    this->Finish(job.id, StreamEnd::kComplete);
  }

  void OnPreempted(const Job&) override { this->measures.Preempted(); }

  void OnDropped(const Job& job, std::int64_t) override {
    this->Finish(job.id, StreamEnd::kCut);
    if (job.generated > 0) {
      this->measures.Interrupted();
    } else {
      this->measures.Refused(this->arrivals[job.id].work);
    }
  }

  void OnCache(std::uint64_t prefix, bool stored) override {
    if (this->random() % kCacheEventsLostOneIn == 0) {
      return;
    }
    const std::string name = NameOf(this->current_engine);
    this->After(kCacheLagUs, [this, prefix, stored, name] {
      for (Decider& decider : this->deciders) {
        decider.fleet->NoteCached(name, prefix, stored);
      }
    });
  }

 private:
  struct Event {
    std::int64_t at_us;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return this->at_us != other.at_us ? this->at_us > other.at_us
                                        : this->order > other.order;
    }
  };

  static std::size_t NumberOf(const std::string& request) {
    std::size_t number = 0;
    std::from_chars(request.data(), request.data() + request.size(), number);
    return number;
  }
  static std::string NameOf(std::size_t engine) {
    return "e" + std::to_string(engine);
  }

  void After(std::int64_t delay_us, std::function<void()> action) {
    this->events.push(
        {this->now_us + delay_us, ++this->event_order, std::move(action)});
  }

  void Every(std::int64_t period_us, const std::function<void()>& action) {
    this->After(period_us, [this, period_us, action] {
      action();
      this->Every(period_us, action);
    });
  }

  // ------------------------------------------------------------- set-up

  void AddDecider(const PolicyFactory& policy) {
    Decider decider;
    decider.lengths = policy.MakeLengths();
    decider.chooser = policy.MakeChooser(*this);
    decider.fleet = std::make_unique<FleetState>(*decider.lengths);
    decider.dispatcher =
        std::make_unique<Dispatcher>(*decider.fleet, *decider.chooser);
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      decider.fleet->SetEngine({NameOf(i), "z", true, false}, 0);
      decider.fleet->ApplyReport(this->ReportOf(i), 0);
    }
    std::vector<std::string> hosts;
    hosts.reserve(static_cast<std::size_t>(this->settings.deciders));
    for (int i = 0; i < this->settings.deciders; ++i) {
      hosts.push_back(std::to_string(i));
    }
    decider.fleet->SetHosts(std::to_string(this->deciders.size()), hosts);
    this->deciders.push_back(std::move(decider));
  }

  void Start() {
    this->ScheduleArrival(0);
    this->Every(kTickUs, [this] { this->Tick(); });
    this->Every(kNotesUs, [this] { this->TellTokens(); });
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      // Engines report out of step with each other.
      const auto shift = static_cast<std::int64_t>(i) * kReportUs /
                         static_cast<std::int64_t>(this->engines.size());
      this->After(shift, [this, i] {
        this->Every(kReportUs, [this, i] { this->SendReport(i); });
      });
    }
    if (this->share_loads) {
      this->Every(kExchangeUs, [this] { this->Exchange(); });
    }
    if (this->settings.faults == Faults::kDeathStallReclaim) {
      this->ScheduleFaults();
    }
  }

  void ScheduleArrival(std::size_t number) {
    if (number >= this->arrivals.size()) {
      return;
    }
    this->After(this->arrivals[number].at_us - this->now_us, [this, number] {
      this->Arrive(number);
      this->ScheduleArrival(number + 1);
    });
  }

  void ScheduleFaults() {
    const std::int64_t from = this->settings.warm_up_us;
    const std::int64_t span = (this->settings.duration_us - from) / 4;
    this->After(from + span / 2, [this] { this->Stall(0, 8 * kSecond); });
    this->After(from + span, [this] { this->Die(1, 30 * kSecond); });
    this->After(from + 2 * span, [this] { this->Reclaim(2); });
    this->After(from + 3 * span, [this] { this->Stall(3, 20 * kSecond); });
  }

  // ----------------------------------------------------------- deciders

  void Arrive(std::size_t number) {
    const auto at = this->random() % this->deciders.size();
    this->streams[number].decider = static_cast<int>(at);
    this->measures.Offered();
    const WorkItem& work = this->arrivals[number].work;
    const DispatchResult answer = this->deciders[at].dispatcher->Offer(
        work, this->now_us / kMs, this->random());
    if (answer.verdict == AdmissionVerdict::kAdmitted) {
      this->Send(number, answer.decision);
    } else if (answer.verdict == AdmissionVerdict::kRefused) {
      this->measures.Refused(work);
    }
  }

  void Send(std::size_t number, const Decision& decision) {
    const std::size_t engine = NumberOf(decision.engine->substr(1));
    const Arrival& arrival = this->arrivals[number];
    Job job;
    job.id = static_cast<std::uint32_t>(number);
    job.prompt = arrival.work.prompt_tokens;
    job.length = arrival.output;
    job.priority = decision.priority;
    job.deadline_us = arrival.work.deadline_ms * kMs;
    job.prefix = arrival.work.prefix_hash;
    job.prefix_tokens = this->deployment.mixes[arrival.mix].prefix_tokens;
    this->streams[number].engine = static_cast<int>(engine);
    if (!this->slots[engine].up || !this->engines[engine]->Submit(job)) {
      this->Finish(job.id, StreamEnd::kCut);
      this->measures.Refused(arrival.work);
      return;
    }
    this->Wake(engine);
  }

  void Tick() {
    const std::int64_t now_ms = this->now_us / kMs;
    for (Decider& decider : this->deciders) {
      for (const ExpiredWork& given_up :
           decider.dispatcher->Expire(now_ms, this->random())) {
        this->measures.Refused(given_up.work);
      }
      // One at a time, so that an oracle sees each where it went.
      for (;;) {
        const std::vector<SendOrder> orders =
            decider.dispatcher->Drain(now_ms, this->random(), 1);
        if (orders.empty()) {
          break;
        }
        this->Send(NumberOf(orders[0].work.request), orders[0].decision);
      }
    }
  }

  void TellTokens() {
    for (const auto& engine : this->engines) {
      for (const Job& job : engine->Running()) {
        const Stream& stream = this->streams[job.id];
        this->FleetOf(stream).NoteTokens(this->arrivals[job.id].work.request,
                                         stream.generated, this->now_us / kMs);
      }
    }
    this->WatchEngines();
  }

  /// An engine with work that is silent for long is taken as stalled.
  void WatchEngines() {
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      const bool silent = !this->engines[i]->Running().empty() &&
                          this->now_us - this->slots[i].heard_us > kSilentUs;
      for (Decider& decider : this->deciders) {
        const bool out = decider.fleet->Find(NameOf(i))->stalled;
        if (silent || !this->slots[i].up) {
          decider.fleet->EngineStalled(NameOf(i), this->now_us / kMs);
        } else if (out) {
          decider.fleet->EngineBack(NameOf(i), this->now_us / kMs);
        }
      }
    }
  }

  void Exchange() {
    for (std::size_t from = 0; from < this->deciders.size(); ++from) {
      const std::vector<PeerLoad> loads = this->deciders[from].fleet->OwnLoad(
          std::to_string(from), this->now_us / kMs);
      this->After(kExchangeLagUs, [this, from, loads] {
        for (std::size_t to = 0; to < this->deciders.size(); ++to) {
          for (const PeerLoad& load : loads) {
            if (to != from) {
              this->deciders[to].fleet->NotePeerLoad(load, this->now_us / kMs);
            }
          }
        }
      });
    }
  }

  FleetState& FleetOf(const Stream& stream) {
    return *this->deciders[static_cast<std::size_t>(stream.decider)].fleet;
  }

  void Finish(std::uint32_t number, StreamEnd end) {
    const Stream& stream = this->streams[number];
    const std::string& request = this->arrivals[number].work.request;
    FleetState& fleet = this->FleetOf(stream);
    const std::int64_t generated = end == StreamEnd::kComplete
                                       ? this->arrivals[number].output
                                       : stream.generated;
    fleet.NoteTokens(request, generated, this->now_us / kMs);
    fleet.NoteEnded(request, end, this->now_us / kMs);
  }

  // ------------------------------------------------------------ engines

  void Wake(std::size_t engine) {
    EngineSlot& slot = this->slots[engine];
    if (slot.stepping || !slot.up) {
      return;
    }
    this->current_engine = engine;
    const auto duration = this->engines[engine]->BeginStep(this->now_us);
    if (!duration.has_value()) {
      slot.heard_us = this->now_us;
      return;
    }
    slot.stepping = true;
    const std::int64_t frozen =
        std::max<std::int64_t>(0, slot.stalled_until_us - this->now_us);
    const std::uint32_t incarnation = slot.incarnation;
    this->After(*duration + frozen, [this, engine, incarnation] {
      if (this->slots[engine].incarnation != incarnation) {
        return;
      }
      this->slots[engine].stepping = false;
      this->engines[engine]->EndStep(this->now_us);
      this->Wake(engine);
    });
  }

  LoadReport ReportOf(std::size_t index) const {
    const FakeEngine& engine = *this->engines[index];
    LoadReport report;
    report.engine = NameOf(index);
    report.incarnation = std::to_string(this->slots[index].incarnation);
    report.as_of_unix_ms = this->now_us / kMs;
    report.running = static_cast<int>(engine.Running().size());
    report.waiting = static_cast<int>(engine.Waiting().size());
    report.kv_used = engine.KvUsed();
    report.kv_capacity = engine.Shape().kv_capacity;
    report.preemptions = engine.Preemptions();
    report.leaving = this->slots[index].leaving;
    report.models = {{"m", "", "1"}};
    return report;
  }

  void SendReport(std::size_t engine) {
    if (!this->slots[engine].up) {
      return;
    }
    const auto jitter =
        static_cast<std::int64_t>(this->random() % kReportLagUs);
    this->After(kReportLagUs + jitter, [this, report = this->ReportOf(engine)] {
      for (Decider& decider : this->deciders) {
        decider.fleet->ApplyReport(report, this->now_us / kMs);
      }
    });
  }

  void Stall(std::size_t engine, std::int64_t for_us) {
    this->slots[engine].stalled_until_us = this->now_us + for_us;
  }

  void Die(std::size_t engine, std::int64_t down_us) {
    EngineSlot& slot = this->slots[engine];
    slot.up = false;
    slot.stepping = false;
    ++slot.incarnation;
    this->engines[engine]->Lose(this->now_us);
    this->After(down_us, [this, engine] {
      this->slots[engine].up = true;
      this->slots[engine].leaving = false;
      this->slots[engine].heard_us = this->now_us;
      for (Decider& decider : this->deciders) {
        decider.fleet->SetEngine({NameOf(engine), "z", true, false},
                                 this->now_us / kMs);
      }
    });
  }

  /// Reclaimed: told 30 s before, then gone for a minute.
  void Reclaim(std::size_t engine) {
    for (Decider& decider : this->deciders) {
      decider.fleet->SetEngine({NameOf(engine), "z", true, true},
                               this->now_us / kMs);
    }
    this->slots[engine].leaving = true;
    this->After(30 * kSecond,
                [this, engine] { this->Die(engine, kSecond * 60); });
  }

  /// Outputs that stand still at the end count for as long as they did.
  void NoteOpenGaps() {
    this->now_us = this->settings.duration_us;
    for (const auto& engine : this->engines) {
      for (const Job& job : engine->Waiting()) {
        if (job.generated > 0) {
          this->measures.Gap(this->now_us -
                             this->streams[job.id].last_token_us);
        }
      }
    }
  }

  const Deployment& deployment;
  RunSettings settings;
  std::vector<Arrival> arrivals;
  std::vector<Stream> streams;
  std::vector<EngineSlot> slots;
  std::vector<std::unique_ptr<FakeEngine>> engines;
  std::vector<Decider> deciders;
  std::priority_queue<Event> events;
  std::mt19937_64 random;
  std::size_t current_engine = 0;
  std::int64_t now_us = 0;
  std::uint64_t event_order = 0;
  bool share_loads = false;
  Measures measures;
};

}  // namespace

RunResult Run(const Deployment& deployment, const PolicyFactory& policy,
              const RunSettings& settings) {
  Simulation simulation(deployment, policy, settings);
  return simulation.RunAll();
}

}  // namespace meadowthread::bench
