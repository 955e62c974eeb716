#include "relay/departures.h"

#include <algorithm>
#include <utility>

#include "base/log_line.h"
#include "policy/pressure_chooser.h"

namespace meadowthread {
namespace {

// How often what is left to move is looked at.
constexpr std::int64_t kStepMs = 10;
// Runs still there this long after the engine said that it leaves are no
// longer looked after: it ends them itself, or has stayed after all.
constexpr std::int64_t kLongestStayMs = 30'000;
// All runs should be off within this: engines that are taken away stay a
// second and a half at least.
constexpr double kWindowMs = 1'300.0;
// Hosts hear of the leaving at different times. The gap between two runs takes
// that up, so that one's last step does not wait behind the next one's copy.
constexpr double kLeastGapMs = 15.0;
constexpr double kMostGapMs = 110.0;
// A link whose speed nobody told: one report's memory in about 200 ms.
constexpr double kUsualTokensPerMs = 17.0;
// Moves to another zone take twice as long on the link.
constexpr double kOtherZoneCost = 0.3;

}  // namespace

MoveTurn TurnOf(std::string_view self, std::vector<HostRuns> hosts,
                double tokens_per_ms) {
  std::sort(hosts.begin(), hosts.end(),
            [](const HostRuns& left, const HostRuns& right) {
              return left.host < right.host;
            });
  double copies_ms = 0.0;
  int runs = 0;
  for (const HostRuns& one : hosts) {
    copies_ms += static_cast<double>(one.memory_tokens) / tokens_per_ms;
    runs += one.runs;
  }
  const double gap_ms = std::clamp((kWindowMs - copies_ms) / std::max(1, runs),
                                   kLeastGapMs, kMostGapMs);
  double starts_ms = 0.0;
  for (const HostRuns& one : hosts) {
    if (one.host == self) {
      break;
    }
    starts_ms += static_cast<double>(one.memory_tokens) / tokens_per_ms +
                 gap_ms * one.runs;
  }
  return {static_cast<std::int64_t>(starts_ms),
          static_cast<std::int64_t>(gap_ms)};
}

Departures::Departures(std::string_view host, const RelayParts& parts,
                       const StreamParts& stream_parts, const PlanInForce& plan,
                       RunsAt runs_at)
    : host(host),
      parts(parts),
      stream_parts(stream_parts),
      plan(plan),
      runs_at(std::move(runs_at)) {}

double Departures::TokensPerMs(std::string_view service) const {
  const ServiceRule* const rule = this->plan.FindService(service);
  if (rule == nullptr || !rule->engine.has_value() ||
      rule->engine->token_bytes <= 0 || rule->engine->link_mbps <= 0.0) {
    return kUsualTokensPerMs;
  }
  constexpr double kBytesPerMsPerMbps = 125.0;
  return rule->engine->link_mbps * kBytesPerMsPerMbps /
         static_cast<double>(rule->engine->token_bytes);
}

void Departures::Begin(const Backend& engine) {
  const ServiceRule* const rule = this->plan.FindService(engine.entry.service);
  const bool moves =
      rule != nullptr && rule->engine.has_value() && rule->engine->moves_runs;
  if (!moves || this->departures.contains(engine.entry.id) ||
      this->runs_at(engine.entry.id).empty()) {
    return;
  }
  Departure& departure = this->departures[engine.entry.id];
  departure.engine = engine.entry.id;
  departure.address = engine.entry.address;
  departure.service = engine.entry.service;
  departure.zone = engine.entry.zone;
  this->Plan(&departure);
  this->Step(engine.entry.id);
}

void Departures::Plan(Departure* departure) {
  const std::int64_t now_ms = this->parts.clock.MonotonicMs();
  HostRuns own;
  own.host = this->host;
  for (const StreamSession* const session : this->runs_at(departure->engine)) {
    ++own.runs;
    own.memory_tokens += session->MemoryTokens();
  }
  std::vector<HostRuns> all = {own};
  for (const PeerLoad& peer : this->stream_parts.fleet.PeersAt(
           departure->engine, this->parts.clock.WallMs())) {
    all.push_back({peer.peer, peer.in_flight, peer.kv_held});
  }
  const MoveTurn turn =
      TurnOf(this->host, all, this->TokensPerMs(departure->service));
  departure->begun_ms = now_ms;
  departure->next_ms = now_ms + turn.starts_in_ms;
  departure->gap_ms = turn.gap_ms;
  LogLine("departure")
      .Add("engine", departure->engine)
      .Add("own_runs", own.runs)
      .Add("own_tokens", own.memory_tokens)
      .Add("hosts", all.size())
      .Add("starts_in_ms", turn.starts_in_ms)
      .Add("gap_ms", turn.gap_ms)
      .WriteImportant();
}

// One run at a time: the next one's copy would hold up this one's last step.
void Departures::Step(const std::string& engine) {
  const auto found = this->departures.find(engine);
  if (found == this->departures.end()) {
    return;
  }
  Departure& departure = found->second;
  const std::int64_t now_ms = this->parts.clock.MonotonicMs();
  const std::vector<StreamSession*> sessions = this->runs_at(engine);
  if (sessions.empty() || now_ms > departure.begun_ms + kLongestStayMs) {
    this->departures.erase(found);
    return;
  }
  const bool moving =
      std::any_of(sessions.begin(), sessions.end(),
                  [](const StreamSession* one) { return one->IsMoving(); });
  if (moving) {
    departure.next_ms = std::max(departure.next_ms, now_ms + departure.gap_ms);
  }
  for (StreamSession* const session : sessions) {
    if (!moving && now_ms >= departure.next_ms &&
        session->Phase() == StreamPhase::kStreaming &&
        this->MoveOne(departure, *session)) {
      break;
    }
  }
  this->parts.scheduler.After(
      kStepMs, this->life.Guarded([this, engine] { this->Step(engine); }));
}

bool Departures::MoveOne(const Departure& departure, StreamSession& session) {
  const std::string target = this->ChooseTarget(departure, session);
  return !target.empty() && session.MoveTo(target);
}

std::string Departures::ChooseTarget(const Departure& departure,
                                     const StreamSession& session) const {
  PressureOptions options;
  options.zone = departure.zone;
  options.zone_cost = kOtherZoneCost;
  PressureChooser chooser(options);
  WorkItem work;
  work.request = session.Request().id;
  work.workspace = session.Terms().workspace;
  work.template_name = session.Terms().route;
  work.model = session.Request().generation->model;
  work.prompt_tokens = session.MemoryTokens();
  work.forced = true;
  const Decision decision =
      chooser.Choose(work, this->stream_parts.fleet, this->parts.clock.WallMs(),
                     this->parts.random());
  return decision.engine.value_or("");
}

}  // namespace meadowthread
