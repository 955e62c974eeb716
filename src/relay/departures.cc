#include "relay/departures.h"

#include <algorithm>
#include <cmath>
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
// second and a half at least. A host that would not be done by then no longer
// lets the hosts before it go first.
constexpr double kWindowMs = 1'300.0;
// A link whose speed nobody told: one report's memory in about 200 ms.
constexpr double kUsualTokensPerMs = 17.0;
// Moves to another zone take twice as long on the link.
constexpr double kOtherZoneCost = 0.6;

}  // namespace

bool IsTurnOf(std::string_view self, std::span<const PeerLoad> peers,
              const TurnClock& clock, std::uint64_t random) {
  std::uint64_t others = 0;
  bool is_behind = false;
  for (const PeerLoad& peer : peers) {
    const bool is_copying =
        peer.copies > 0 &&
        clock.now_unix_ms - peer.as_of_unix_ms < kLongestCopyMs;
    if (is_copying) {
      return false;
    }
    // What it has there that is still being read can't be moved yet.
    const bool has_runs = peer.kv_held > peer.reading;
    others += has_runs ? 1 : 0;
    is_behind = is_behind || (has_runs && peer.peer < self);
  }
  if (clock.now_ms < clock.latest_ms) {
    return !is_behind;
  }
  // Hosts that see the link free at one moment would all begin.
  return random % (others + 1) == 0;
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
  if (!moves || this->departures.contains(engine.key) ||
      this->runs_at(engine.key).empty()) {
    return;
  }
  Departure& departure = this->departures[engine.key];
  departure.engine = engine.key;
  departure.service = engine.entry.service;
  departure.zone = engine.entry.zone;
  this->Plan(&departure);
  this->Step(engine.key);
}

void Departures::Plan(Departure* departure) {
  const std::vector<StreamSession*> own = this->runs_at(departure->engine);
  double copies_ms = 0.0;
  for (const StreamSession* const session : own) {
    copies_ms += static_cast<double>(session->MemoryTokens()) /
                 this->TokensPerMs(departure->service);
  }
  departure->begun_ms = this->parts.clock.MonotonicMs();
  departure->latest_ms =
      departure->begun_ms +
      static_cast<std::int64_t>(std::max(0.0, kWindowMs - copies_ms));
  LogLine("departure")
      .Add("engine", departure->engine)
      .Add("own_runs", own.size())
      .Add("copies_ms", std::lround(copies_ms))
      .Add("hosts", this->PeersAt(departure->engine).size() + 1)
      .WriteImportant();
}

std::vector<PeerLoad> Departures::PeersAt(std::string_view engine) const {
  return this->stream_parts.fleet.PeersAt(engine, this->parts.clock.WallMs());
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
  const bool is_gone = this->parts.backends.Find(engine) == nullptr;
  if (sessions.empty() || is_gone ||
      now_ms > departure.begun_ms + kLongestStayMs) {
    this->EndTurns(departure);
    this->departures.erase(found);
    this->TellCopies();
    return;
  }
  if (this->stream_parts.allocation.IsShared()) {
    this->AskTurns(departure, sessions);
  } else {
    this->MoveInTurn(departure, sessions);
  }
  this->TellCopies();
  this->parts.scheduler.After(
      kStepMs, this->life.Guarded([this, engine] { this->Step(engine); }));
}

void Departures::MoveInTurn(const Departure& departure,
                            std::span<StreamSession* const> sessions) {
  const bool moving =
      std::any_of(sessions.begin(), sessions.end(),
                  [](const StreamSession* one) { return one->IsMoving(); });
  const TurnClock clock{departure.latest_ms, this->parts.clock.MonotonicMs(),
                        this->parts.clock.WallMs()};
  if (!moving && IsTurnOf(this->host, this->PeersAt(departure.engine), clock,
                          this->parts.random())) {
    for (StreamSession* const session : sessions) {
      if (session->Phase() == StreamPhase::kStreaming &&
          this->MoveOne(departure, *session)) {
        break;
      }
    }
  }
}

// A copy that is done leaves the link to the next run, though its own last step
// is still to come: that is ordered first, and links keep the order.
void Departures::AskTurns(Departure& departure,
                          std::span<StreamSession* const> sessions) {
  std::erase_if(departure.copied, [this, &departure](const auto& entry) {
    const StreamSession* const session =
        this->FindAt(departure.engine, entry.first);
    const bool is_over = session == nullptr || !session->IsCopying();
    if (is_over) {
      this->stream_parts.allocation.MoveOver(entry.second);
    }
    return is_over;
  });
  for (StreamSession* const session : sessions) {
    const std::string& request = session->Request().id;
    const bool may_ask = session->Phase() == StreamPhase::kStreaming &&
                         !session->IsMoving() &&
                         departure.asked.insert(request).second;
    if (may_ask) {
      const MoveAsk move{departure.engine, WorkOf(*session)};
      this->stream_parts.allocation.AskMove(
          move, this->life.Guarded([this, move](const Decision& granted) {
            this->TakeTurn(move, granted);
          }));
    }
  }
}

// Without an answer it goes without a turn: a run that stays is cut off.
void Departures::TakeTurn(const MoveAsk& move, const Decision& granted) {
  const auto found = this->departures.find(move.source);
  if (found == this->departures.end()) {
    this->stream_parts.allocation.MoveOver(move);
    return;
  }
  Departure& departure = found->second;
  departure.asked.erase(move.run.request);
  StreamSession* const session = this->FindAt(move.source, move.run.request);
  const bool begins =
      session != nullptr &&
      (granted.engine.has_value() ? session->MoveTo(*granted.engine)
                                  : this->MoveOne(departure, *session));
  if (begins) {
    departure.copied.emplace(move.run.request, move);
  } else {
    this->stream_parts.allocation.MoveOver(move);
  }
}

void Departures::EndTurns(Departure& departure) {
  for (const auto& [request, move] : departure.copied) {
    this->stream_parts.allocation.MoveOver(move);
  }
  departure.copied.clear();
}

StreamSession* Departures::FindAt(std::string_view engine,
                                  std::string_view request) {
  for (StreamSession* const session : this->runs_at(engine)) {
    if (session->Request().id == request) {
      return session;
    }
  }
  return nullptr;
}

// Both ends of a copy have it on their links. A last step is short, and what is
// ordered after it comes behind it.
void Departures::TellCopies() {
  std::map<std::string, int> now;
  for (const auto& [engine, departure] : this->departures) {
    for (const StreamSession* const session : this->runs_at(engine)) {
      if (session->IsCopying()) {
        ++now[engine];
        ++now[session->MoveTarget()];
      }
    }
  }
  for (const auto& [engine, copies] : this->copies_told) {
    if (!now.contains(engine)) {
      this->stream_parts.fleet.SetCopies(engine, 0);
    }
  }
  for (const auto& [engine, copies] : now) {
    this->stream_parts.fleet.SetCopies(engine, copies);
  }
  this->copies_told = std::move(now);
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
  options.busy_link_cost = kBusyLinkCost;
  PressureChooser chooser(options);
  chooser.SetWithin([this](const EngineView& view) {
    return this->parts.arrivals.May(view.engine,
                                    this->parts.clock.MonotonicMs());
  });
  const Decision decision =
      chooser.Choose(WorkOf(session), this->stream_parts.fleet,
                     this->parts.clock.WallMs(), this->parts.random());
  return decision.engine.value_or("");
}

WorkItem Departures::WorkOf(const StreamSession& session) {
  WorkItem work;
  work.request = session.Request().id;
  work.workspace = session.Terms().workspace;
  work.template_name = session.Terms().route;
  work.model = session.Request().generation->model;
  work.prompt_tokens = session.MemoryTokens();
  work.is_copy = true;
  work.forced = true;
  work.homes = session.Terms().homes;
  return work;
}

}  // namespace meadowthread
