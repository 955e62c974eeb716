#include "relay/departures.h"

#include <algorithm>
#include <utility>

#include "base/log_line.h"
#include "policy/pressure_chooser.h"

namespace meadowthread {
namespace {

// The engine is asked once how long it stays and what runs on it; moving
// without the answer is better than waiting longer.
constexpr std::int64_t kAskMs = 250;
// How often what is left to move is looked at.
constexpr std::int64_t kStepMs = 25;
// An engine that does not tell is expected to stay this long.
constexpr std::int64_t kUsualStayMs = 2'000;
constexpr std::int64_t kLongestStayMs = 30'000;
// Between two runs on the same link: a stop with its small rest fits in.
constexpr double kTurnGapMs = 15.0;
// A link whose speed nobody told: one report's memory in about 200 ms.
constexpr double kUsualTokensPerMs = 17.0;
// Moves to another zone take twice as long on the link.
constexpr double kOtherZoneCost = 0.3;

}  // namespace

std::vector<MoveTurn> TurnsOf(std::vector<EngineRun> runs,
                              const std::vector<EngineRun>& own,
                              double tokens_per_ms) {
  for (const EngineRun& mine : own) {
    const bool listed = std::any_of(
        runs.begin(), runs.end(),
        [&mine](const EngineRun& run) { return run.request == mine.request; });
    if (!listed) {
      runs.push_back(mine);
    }
  }
  // Any order does that all hosts find alike; identifiers are drawn at random.
  std::sort(runs.begin(), runs.end(),
            [](const EngineRun& left, const EngineRun& right) {
              return left.request < right.request;
            });
  std::vector<MoveTurn> turns;
  double at_ms = 0.0;
  for (const EngineRun& run : runs) {
    const bool is_own = std::any_of(
        own.begin(), own.end(),
        [&run](const EngineRun& mine) { return run.request == mine.request; });
    if (is_own) {
      turns.push_back({run.request, static_cast<std::int64_t>(at_ms)});
    }
    at_ms +=
        static_cast<double>(run.memory_tokens) / tokens_per_ms + kTurnGapMs;
  }
  return turns;
}

Departures::Departures(const RelayParts& parts, const StreamParts& stream_parts,
                       EngineControl& control, const PlanInForce& plan,
                       RunsAt runs_at)
    : parts(parts),
      stream_parts(stream_parts),
      control(control),
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
  const std::int64_t now_ms = this->parts.clock.MonotonicMs();
  Departure& departure = this->departures[engine.entry.id];
  departure.engine = engine.entry.id;
  departure.address = engine.entry.address;
  departure.service = engine.entry.service;
  departure.zone = engine.entry.zone;
  departure.begun_ms = now_ms;
  departure.ends_ms = now_ms + kUsualStayMs;
  this->control.ReadState(
      departure.address, kAskMs,
      [this, id = departure.engine, guard = std::weak_ptr<bool>(this->alive)](
          const absl::StatusOr<EngineState>& state) {
        if (guard.expired()) {
          return;
        }
        const auto found = this->departures.find(id);
        if (found != this->departures.end()) {
          this->Plan(&found->second, state);
          this->Step(id);
        }
      });
}

void Departures::Plan(Departure* departure,
                      const absl::StatusOr<EngineState>& state) {
  const std::int64_t now_ms = this->parts.clock.MonotonicMs();
  std::vector<EngineRun> own;
  for (const StreamSession* const session : this->runs_at(departure->engine)) {
    own.push_back(
        {session->Request().id, session->MemoryTokens(), session->Events()});
  }
  std::vector<EngineRun> runs;
  if (state.ok()) {
    runs = state->runs;
    const std::int64_t stay_ms = state->leaves_in_ms.value_or(kUsualStayMs);
    departure->ends_ms = now_ms + std::min(stay_ms, kLongestStayMs);
  }
  for (const MoveTurn& turn :
       TurnsOf(std::move(runs), own, this->TokensPerMs(departure->service))) {
    departure->turns[turn.request] = now_ms + turn.starts_in_ms;
  }
  LogLine line("departure");
  line.Add("engine", departure->engine)
      .Add("own_runs", own.size())
      .Add("listed_runs", state.ok() ? state->runs.size() : 0)
      .Add("told", state.ok() ? "yes" : "no")
      .Add("stays_ms", departure->ends_ms - now_ms)
      .WriteImportant();
}

void Departures::Step(const std::string& engine) {
  const auto found = this->departures.find(engine);
  if (found == this->departures.end()) {
    return;
  }
  Departure& departure = found->second;
  const std::int64_t now_ms = this->parts.clock.MonotonicMs();
  const std::vector<StreamSession*> sessions = this->runs_at(engine);
  const bool over =
      sessions.empty() || now_ms > departure.ends_ms + kLongestStayMs;
  if (over) {
    this->departures.erase(found);
    return;
  }
  for (StreamSession* const session : sessions) {
    if (session->Phase() != StreamPhase::kStreaming || session->IsMoving()) {
      continue;
    }
    // One that had not begun when the turns were dealt goes at once.
    const auto turn = departure.turns.find(session->Request().id);
    if (turn == departure.turns.end() || turn->second <= now_ms) {
      this->MoveOne(departure, *session);
    }
  }
  this->parts.scheduler.After(
      kStepMs, [this, engine, guard = std::weak_ptr<bool>(this->alive)] {
        if (!guard.expired()) {
          this->Step(engine);
        }
      });
}

void Departures::MoveOne(const Departure& departure, StreamSession& session) {
  const std::string target = this->ChooseTarget(departure, session);
  if (!target.empty()) {
    session.MoveTo(target);
  }
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
