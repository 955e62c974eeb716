#include "relay/engine_drainer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/log_line.h"
#include "policy/pressure_chooser.h"

namespace meadowthread {
namespace {

// Interval for checking which runs are left to move.
constexpr std::int64_t kPollMs = 10;
// A drain ends after this long even if runs are left: the engine ends them
// itself, or has stayed after all.
constexpr std::int64_t kMaxDrainMs = 30'000;
// All runs should have left the engine within this time, as engines that are
// taken away stay for at least 1.5 s. A host that would not finish by then no
// longer waits for hosts whose names come before its own.
constexpr double kDrainTargetMs = 1'300.0;
// For links of unknown speed. At this rate the KV cache of a long generation
// takes about 200 ms.
constexpr double kDefaultTokensPerMs = 17.0;
// Cost that is added to targets in another availability zone: copies to there
// take twice as long on the link.
constexpr double kCrossZoneCost = 0.6;

}  // namespace

bool MayStartCopy(std::string_view self, std::span<const PeerLoad> peers,
                  const CopyTurnTimes& times, std::uint64_t random) {
  std::uint64_t others = 0;
  bool is_behind = false;
  for (const PeerLoad& peer : peers) {
    const bool is_copying =
        peer.copies > 0 && times.now_unix_ms - peer.as_of_unix_ms < kMaxCopyMs;
    if (is_copying) {
      return false;
    }
    // Runs that are still in prefill can't be moved yet.
    const bool has_runs = peer.kv_held > peer.reading;
    others += has_runs ? 1 : 0;
    is_behind = is_behind || (has_runs && peer.peer < self);
  }
  if (times.now_ms < times.latest_ms) {
    return !is_behind;
  }
  // Drawn at random, because otherwise all hosts that see the link free at the
  // same moment would begin.
  return random % (others + 1) == 0;
}

EngineDrainer::EngineDrainer(std::string_view host,
                             const RelayDependencies& deps,
                             const StreamDependencies& stream_deps,
                             const ActiveRoutingConfig& config,
                             FindStreams streams_on)
    : host(host),
      deps(deps),
      stream_deps(stream_deps),
      config(config),
      streams_on(std::move(streams_on)) {}

double EngineDrainer::TokensPerMs(std::string_view service) const {
  const ServiceRule* const rule = this->config.FindService(service);
  if (rule == nullptr || !rule->engine.has_value() ||
      rule->engine->token_bytes <= 0 || rule->engine->link_mbps <= 0.0) {
    return kDefaultTokensPerMs;
  }
  constexpr double kBytesPerMsPerMbps = 125.0;
  return rule->engine->link_mbps * kBytesPerMsPerMbps /
         static_cast<double>(rule->engine->token_bytes);
}

void EngineDrainer::Begin(const Backend& engine) {
  const ServiceRule* const rule =
      this->config.FindService(engine.entry.service);
  const bool moves =
      rule != nullptr && rule->engine.has_value() && rule->engine->moves_runs;
  if (!moves || this->drains.contains(engine.key) ||
      this->streams_on(engine.key).empty()) {
    return;
  }
  Drain& drain = this->drains[engine.key];
  drain.engine = engine.key;
  drain.service = engine.entry.service;
  drain.zone = engine.entry.zone;
  this->Plan(&drain);
  this->Poll(engine.key);
}

void EngineDrainer::Plan(Drain* drain) {
  const std::vector<StreamSession*> own = this->streams_on(drain->engine);
  double copies_ms = 0.0;
  for (const StreamSession* const session : own) {
    copies_ms += static_cast<double>(session->KvCacheTokens()) /
                 this->TokensPerMs(drain->service);
  }
  drain->begun_ms = this->deps.clock.MonotonicMs();
  drain->latest_ms = drain->begun_ms + static_cast<std::int64_t>(std::max(
                                           0.0, kDrainTargetMs - copies_ms));
  LogLine("departure")
      .Add("engine", drain->engine)
      .Add("own_runs", own.size())
      .Add("copies_ms", std::lround(copies_ms))
      .Add("hosts", this->PeersAt(drain->engine).size() + 1)
      .WriteImportant();
}

std::vector<PeerLoad> EngineDrainer::PeersAt(std::string_view engine) const {
  return this->stream_deps.fleet.PeersAt(engine, this->deps.clock.WallMs());
}

// Moves one run at a time: the copy of a second one would delay the final copy
// of the first.
void EngineDrainer::Poll(const std::string& engine) {
  const auto found = this->drains.find(engine);
  if (found == this->drains.end()) {
    return;
  }
  Drain& drain = found->second;
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  const std::vector<StreamSession*> sessions = this->streams_on(engine);
  const bool is_gone = this->deps.backends.Find(engine) == nullptr;
  if (sessions.empty() || is_gone || now_ms > drain.begun_ms + kMaxDrainMs) {
    this->ReleaseTurns(drain);
    this->drains.erase(found);
    this->PublishCopyCounts();
    return;
  }
  if (this->stream_deps.allocation.IsShared()) {
    this->RequestTurns(drain, sessions);
  } else {
    this->MoveNextRun(drain, sessions);
  }
  this->PublishCopyCounts();
  this->deps.scheduler.After(
      kPollMs, this->life.Guarded([this, engine] { this->Poll(engine); }));
}

void EngineDrainer::MoveNextRun(const Drain& drain,
                                std::span<StreamSession* const> sessions) {
  const bool moving =
      std::any_of(sessions.begin(), sessions.end(),
                  [](const StreamSession* one) { return one->IsMoving(); });
  const CopyTurnTimes times{drain.latest_ms, this->deps.clock.MonotonicMs(),
                            this->deps.clock.WallMs()};
  if (!moving && MayStartCopy(this->host, this->PeersAt(drain.engine), times,
                              this->deps.random())) {
    for (StreamSession* const session : sessions) {
      if (session->Phase() == StreamPhase::kStreaming &&
          this->MoveOne(drain, *session)) {
        break;
      }
    }
  }
}

// A run releases its turn once its first copy is done, although its short final
// copy is still to come: the final copy is ordered before copies of the next
// turn, and links carry copies in the order in which they were ordered.
void EngineDrainer::RequestTurns(Drain& drain,
                                 std::span<StreamSession* const> sessions) {
  std::erase_if(drain.held_turns, [this, &drain](const auto& entry) {
    const StreamSession* const session =
        this->FindStream(drain.engine, entry.first);
    const bool is_over = session == nullptr || !session->IsCopying();
    if (is_over) {
      this->stream_deps.allocation.EndMigration(entry.second);
    }
    return is_over;
  });
  for (StreamSession* const session : sessions) {
    const std::string& request = session->Request().id;
    const bool may_ask = session->Phase() == StreamPhase::kStreaming &&
                         !session->IsMoving() &&
                         drain.requested_turns.insert(request).second;
    if (may_ask) {
      const MigrationRequest move{drain.engine, MakeWorkItem(*session)};
      this->stream_deps.allocation.RequestMigration(
          move, this->life.Guarded([this, move](const Decision& granted) {
            this->OnTurnGranted(move, granted);
          }));
    }
  }
}

// If the decision names no engine, the run is moved without a turn, as it would
// be cut off if it stayed.
void EngineDrainer::OnTurnGranted(const MigrationRequest& move,
                                  const Decision& granted) {
  const auto found = this->drains.find(move.source);
  if (found == this->drains.end()) {
    this->stream_deps.allocation.EndMigration(move);
    return;
  }
  Drain& drain = found->second;
  drain.requested_turns.erase(move.run.request);
  StreamSession* const session =
      this->FindStream(move.source, move.run.request);
  const bool begins =
      session != nullptr &&
      (granted.engine.has_value() ? session->MoveTo(*granted.engine)
                                  : this->MoveOne(drain, *session));
  if (begins) {
    drain.held_turns.emplace(move.run.request, move);
  } else {
    this->stream_deps.allocation.EndMigration(move);
  }
}

void EngineDrainer::ReleaseTurns(Drain& drain) {
  for (const auto& [request, move] : drain.held_turns) {
    this->stream_deps.allocation.EndMigration(move);
  }
  drain.held_turns.clear();
}

StreamSession* EngineDrainer::FindStream(std::string_view engine,
                                         std::string_view request) {
  for (StreamSession* const session : this->streams_on(engine)) {
    if (session->Request().id == request) {
      return session;
    }
  }
  return nullptr;
}

// A copy uses the links of both engines. The final copy of a run is not
// counted: it is short, and copies ordered later queue behind it.
void EngineDrainer::PublishCopyCounts() {
  std::map<std::string, int> now;
  for (const auto& [engine, drain] : this->drains) {
    for (const StreamSession* const session : this->streams_on(engine)) {
      if (session->IsCopying()) {
        ++now[engine];
        ++now[session->MoveTarget()];
      }
    }
  }
  for (const auto& [engine, copies] : this->published_copies) {
    if (!now.contains(engine)) {
      this->stream_deps.fleet.SetCopies(engine, 0);
    }
  }
  for (const auto& [engine, copies] : now) {
    this->stream_deps.fleet.SetCopies(engine, copies);
  }
  this->published_copies = std::move(now);
}

bool EngineDrainer::MoveOne(const Drain& drain, StreamSession& session) {
  const std::string target = this->ChooseTarget(drain, session);
  return !target.empty() && session.MoveTo(target);
}

// An engine that names a rate gets a run only if no other engine can take it.
std::string EngineDrainer::ChooseTarget(const Drain& drain,
                                        const StreamSession& session) const {
  const std::string unlimited = this->ChooseTarget(drain, session, false);
  return unlimited.empty() ? this->ChooseTarget(drain, session, true)
                           : unlimited;
}

std::string EngineDrainer::ChooseTarget(const Drain& drain,
                                        const StreamSession& session,
                                        bool with_limited) const {
  PressureOptions options;
  options.zone = drain.zone;
  options.zone_cost = kCrossZoneCost;
  options.busy_link_cost = kBusyLinkCost;
  PressureChooser chooser(options);
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  chooser.SetEngineFilter([this, with_limited, now_ms](const EngineView& view) {
    return (with_limited || !this->deps.permits.IsLimited(view.engine)) &&
           this->deps.arrivals.May(view.engine, now_ms) &&
           this->deps.backoffs.RemainingMs(view.engine, now_ms) <= 0;
  });
  const Decision decision =
      chooser.Choose(MakeWorkItem(session), this->stream_deps.fleet,
                     this->deps.clock.WallMs(), this->deps.random());
  return decision.engine.value_or("");
}

WorkItem EngineDrainer::MakeWorkItem(const StreamSession& session) const {
  WorkItem work;
  work.request = session.Request().id;
  work.workspace = session.Terms().workspace;
  work.template_name = session.Terms().route;
  work.service = session.Terms().service;
  work.model = session.Request().generation->model;
  work.prompt_tokens = session.KvCacheTokens();
  work.is_copy = true;
  work.forced = true;
  work.max_token_gap_us = session.MaxTokenGapUs();
  work.allowed_regions = session.Terms().allowed_regions;
  work.software = this->deps.versions.RuleForMove(session.Terms().service);
  return work;
}

}  // namespace meadowthread
