#include "rollout/tests/rollout_simulation.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace meadowthread::testing {
namespace {

using nlohmann::json;

constexpr std::string_view kService = "pool";
constexpr std::string_view kOld = "v1";
constexpr std::string_view kNew = "v2";
constexpr std::array<std::string_view, 3> kRoutes = {"long", "short", "rare"};
// Weights of the routes, of ten requests.
constexpr std::array<double, 3> kRouteWeights = {4.0, 5.0, 1.0};
constexpr RolloutLimits kLimits = {0.1, 50.0};
constexpr std::int64_t kServersUpMs = 1'000;
constexpr std::int64_t kAfterEndMs = 8'000;
constexpr std::int64_t kFiftiethBad = 50;
constexpr double kFailShare = 0.4;
constexpr double kSlowFactor = 5.0;
constexpr double kUsualMs = 120.0;
constexpr std::size_t kLoadWindow = 40;
constexpr std::int64_t kHeaderBytes = 60;
constexpr std::int64_t kViewDelayMs = 60;

}  // namespace

/// @brief The object of the rollout, with conditional writes.
class RolloutSimulation::Store final : public RolloutStatusStore {
 public:
  explicit Store(RolloutSimulation& world) : world(world) {}

  void WriteStatus(std::string_view, const RolloutStatus& status,
                   std::int64_t expected_version, const Done& done) override {
    ++this->world.outcome.writes;
    const std::int64_t at_ms =
        this->world.clock.MonotonicMs() - this->world.order_ms;
    const bool is_down = at_ms >= this->world.scenario.store_down_from_ms &&
                         at_ms < this->world.scenario.store_down_until_ms;
    if (is_down || expected_version != this->version) {
      this->world.scheduler.After(
          5, [done] { done(absl::UnavailableError("not written")); });
      return;
    }
    ++this->version;
    this->rollout.status = status;
    this->world.Publish();
    this->world.scheduler.After(
        5, [done, written = this->version] { done(written); });
  }

  RolloutSimulation& world;
  Rollout rollout;
  std::int64_t version = 1;
};

/// @brief One host with its requests.
class RolloutSimulation::Host final : public GossipChannel,
                                      public VersionedTraffic {
 public:
  Host(RolloutSimulation& world, int number)
      : world(world),
        number(number),
        participant(world.names[static_cast<std::size_t>(number)], kLimits,
                    {*this, *world.store, *this, world.clock, world.scheduler,
                     world.random}) {}

  void SendToRandom(std::string_view topic, const json& payload,
                    std::size_t count) override {
    for (std::size_t n = 0; n < count; ++n) {
      const auto to =
          static_cast<int>(this->world.random() % this->world.hosts.size());
      if (to != this->number) {
        this->world.Deliver(this->number, to, topic, payload);
      }
    }
  }
  void SendToHost(std::string_view topic, const json& payload,
                  std::string_view host) override {
    const auto found =
        std::find(this->world.names.begin(), this->world.names.end(), host);
    this->world.Deliver(
        this->number,
        static_cast<int>(std::distance(this->world.names.begin(), found)),
        topic, payload);
  }

  bool AreOthersIdle(std::string_view, std::string_view) const override {
    return this->at_old == 0;
  }
  std::vector<std::string> OtherVersions(std::string_view,
                                         std::string_view) const override {
    return {std::string(kOld)};
  }
  void Restrict(std::string_view, const VersionRestrictions& next) override {
    this->excluded = next.excluded;
  }
  std::vector<std::string> HostNames() const override {
    return this->world.names;
  }

  /// @brief Whether servers of the version may get a request by these rules.
  bool MaySendTo(const VersionRule& rule, std::string_view version) const {
    return rule.Permits(version) &&
           std::find(this->excluded.begin(), this->excluded.end(), version) ==
               this->excluded.end();
  }

  RolloutSimulation& world;
  int number;
  int at_old = 0;  ///< requests in progress
  std::vector<std::string> excluded;
  RolloutParticipant participant;
};

RolloutSimulation::RolloutSimulation(const RolloutScenario& scenario)
    : scenario(scenario), random(scenario.seed) {
  this->store = std::make_unique<Store>(*this);
  for (int n = 0; n < scenario.hosts; ++n) {
    this->names.push_back(absl::StrCat("front-", n));
  }
  for (int n = 0; n < scenario.hosts; ++n) {
    this->hosts.push_back(std::make_shared<Host>(*this, n));
    this->hosts.back()->participant.Start();
  }
}

RolloutSimulation::~RolloutSimulation() = default;

// The last hosts are cut off, so that hosts with any rank may be.
bool RolloutSimulation::IsCutOff(int host) const {
  return host >= this->scenario.hosts - this->scenario.cut_off;
}

void RolloutSimulation::Deliver(int from, int to, std::string_view topic,
                                const json& payload) {
  const std::int64_t bytes = std::ssize(json::to_cbor(payload)) + kHeaderBytes;
  this->outcome.bytes += bytes;
  this->sent_bytes[from] += bytes;
  this->received_bytes[to] += bytes;
  const bool is_lost = std::uniform_real_distribution<>()(this->random) <
                       this->scenario.message_loss;
  if (is_lost || this->IsCutOff(from) || this->IsCutOff(to)) {
    return;
  }
  const auto delay_ms = static_cast<std::int64_t>(1 + this->random() % 3);
  this->scheduler.After(
      delay_ms,
      [this, to, name = this->names[static_cast<std::size_t>(from)],
       is_report = topic == RolloutParticipant::kReportTopic, payload] {
        Host& host = *this->hosts[static_cast<std::size_t>(to)];
        if (is_report) {
          host.participant.OnReport(name, payload);
        } else {
          host.participant.OnProgress(name, payload);
        }
      });
}

void RolloutSimulation::Publish() {
  const Rollout rollout = this->store->rollout;
  const std::int64_t version = this->store->version;
  const bool is_over = rollout.status.has_value() &&
                       rollout.status->state != RolloutState::kRunning;
  if (is_over && this->outcome.ended_ms < 0) {
    this->outcome.ended_ms = this->clock.MonotonicMs() - this->order_ms;
    if (rollout.status->state == RolloutState::kCompleted) {
      for (const auto& host : this->hosts) {
        this->outcome.cut_at_completion += host->at_old;
      }
    }
  }
  for (int n = 0; n < this->scenario.hosts; ++n) {
    if (this->IsCutOff(n) && version > 1) {
      continue;
    }
    const auto delay_ms =
        static_cast<std::int64_t>(this->random() % kViewDelayMs);
    this->scheduler.After(delay_ms, [this, n, rollout, version] {
      this->hosts[static_cast<std::size_t>(n)]->participant.SetRollout(rollout,
                                                                       version);
    });
  }
}

double RolloutSimulation::LoadShare() const {
  if (this->latest.size() < kLoadWindow) {
    return 0.0;
  }
  return static_cast<double>(std::count(this->latest.end() - kLoadWindow,
                                        this->latest.end(), true)) /
         static_cast<double>(kLoadWindow);
}

bool RolloutSimulation::Fails(std::string_view route) const {
  const std::int64_t at_ms = this->clock.MonotonicMs() - this->order_ms;
  switch (this->scenario.behaviour) {
    case VersionBehaviour::kGood:
    case VersionBehaviour::kIsSlow:
      return false;
    case VersionBehaviour::kFailsAtOnce:
      return true;
    case VersionBehaviour::kFailsLate:
      return at_ms > this->scenario.duration_ms / 2;
    case VersionBehaviour::kFailsUnderLoad:
      return this->LoadShare() >= 0.5;
    case VersionBehaviour::kFailsOnOneRoute:
      return route == kRoutes[1];
  }
  return false;
}

void RolloutSimulation::SendRequest() {
  const std::shared_ptr<Host> host =
      this->hosts[this->random() % this->hosts.size()];
  std::discrete_distribution<std::size_t> routes(kRouteWeights.begin(),
                                                 kRouteWeights.end());
  const std::string_view route = kRoutes.at(routes(this->random));
  const std::int64_t now_ms = this->clock.MonotonicMs();
  const std::int64_t at_ms = now_ms - this->order_ms;
  const bool servers_up =
      at_ms >= kServersUpMs && !this->scenario.without_servers;
  VersionRule rule = host->participant.RuleForRequest(kService, route);
  if (!servers_up || !host->MaySendTo(rule, kNew)) {
    rule = host->MaySendTo(rule, kOld)
               ? rule
               : host->participant.RuleForRetry(kService);
  }
  const bool to_new = servers_up && host->MaySendTo(rule, kNew) &&
                      rule.kind == VersionRule::Kind::kOnly;
  if (!to_new && !host->MaySendTo(rule, kOld)) {
    return;
  }
  this->latest.push_back(to_new);
  if (at_ms <= this->scenario.duration_ms) {
    ++this->outcome.requests;
    this->outcome.target_requests += to_new ? 1 : 0;
  }
  if (to_new && this->fiftieth_bad_ms >= 0) {
    this->outcome.last_after_bad_ms = now_ms - this->fiftieth_bad_ms;
  }
  const bool is_slow =
      to_new && this->scenario.behaviour == VersionBehaviour::kIsSlow;
  const bool fails =
      to_new && this->Fails(route) &&
      std::uniform_real_distribution<>()(this->random) < kFailShare;
  const double spread = std::lognormal_distribution<>(0.0, 0.5)(this->random);
  const auto took_ms = static_cast<std::int64_t>(kUsualMs * spread *
                                                 (is_slow ? kSlowFactor : 1.0));
  host->at_old += to_new ? 0 : 1;
  this->scheduler.After(took_ms, [this, weak = std::weak_ptr<Host>(host), route,
                                  to_new, fails, is_slow, took_ms] {
    if (fails || is_slow) {
      ++this->bad_answers;
      if (this->bad_answers == kFiftiethBad) {
        this->fiftieth_bad_ms = this->clock.MonotonicMs();
      }
    }
    if (const std::shared_ptr<Host> running = weak.lock()) {
      running->at_old -= to_new ? 0 : 1;
      running->participant.RecordAnswer(
          {kService, to_new ? kNew : kOld, route, fails, false, took_ms, -1});
    }
  });
}

void RolloutSimulation::Restart() {
  for (int n = 0; n < this->scenario.hosts; ++n) {
    auto& place = this->hosts[static_cast<std::size_t>(n)];
    place = std::make_shared<Host>(*this, n);
    place->participant.Start();
  }
  this->Publish();
}

RolloutOutcome RolloutSimulation::Play() {
  this->order_ms = this->clock.MonotonicMs();
  this->store->rollout.order = {std::string(kService), std::string(kNew),
                                this->scenario.duration_ms};
  this->Publish();
  std::exponential_distribution<> gaps(this->scenario.requests_per_s / 1'000.0);
  double next_ms = gaps(this->random);
  const std::int64_t ends_ms = this->scenario.duration_ms + kAfterEndMs;
  for (std::int64_t at_ms = 0; at_ms < ends_ms; ++at_ms) {
    for (; next_ms <= static_cast<double>(at_ms);
         next_ms += gaps(this->random)) {
      this->SendRequest();
    }
    if (at_ms == this->scenario.restart_all_ms && at_ms > 0) {
      this->Restart();
    }
    this->clock.Advance(1);
    this->scheduler.RunDue();
  }
  this->outcome.status = this->store->rollout.status;
  for (const auto& [host, bytes] : this->sent_bytes) {
    this->outcome.most_bytes_of_a_host =
        std::max(this->outcome.most_bytes_of_a_host, bytes);
  }
  for (const auto& [host, bytes] : this->received_bytes) {
    this->outcome.most_bytes_to_a_host =
        std::max(this->outcome.most_bytes_to_a_host, bytes);
  }
  return this->outcome;
}

}  // namespace meadowthread::testing
