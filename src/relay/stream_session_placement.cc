// Finds an engine for a stream and sends the request to it.
#include <algorithm>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/error.h"
#include "base/log_line.h"
#include "relay/send_gate.h"
#include "relay/stream_session.h"

namespace meadowthread {
namespace {

// How long a request waits if no engine is usable at all, as one may be listed
// shortly.
constexpr std::int64_t kNoEngineWaitMs = 400;
// Interval for requesting a placement again: an engine finishes about three
// runs per second.
constexpr std::int64_t kPlacementRetryMs = 250;
// Interval for choosing again while other hosts' news may be on its way.
constexpr std::int64_t kPeerNewsRetryMs = 10;
// Delay before another request for a placement if the chosen engine could not
// be used. By then the host that allocates the engines has learned of the
// change.
constexpr std::int64_t kChangePropagationMs = 50;

// Lists the best candidates for the log, each as engine, cost, requests in
// flight, probability that this request overfills the engine's memory, expected
// time to the first event, and age of the oldest load that a peer reported.
std::string CandidatesText(const Decision& decision) {
  std::string text;
  for (const Candidate& one : decision.considered) {
    absl::StrAppend(&text, text.empty() ? "" : ",", one.engine, ":",
                    absl::StrFormat("%.3f", one.cost), ":", one.in_flight, ":",
                    absl::StrFormat("%.2f", one.overfill_chance), ":",
                    one.first_event_ms, ":", one.peer_load_age_ms);
  }
  return text;
}

// Whether the stream waits only for other hosts' news before it is refused.
bool AwaitsPeerNews(const StreamAdmissionPlan& arrival,
                    const Decision& decision) {
  return decision.rests_on_peer_run && arrival.may_wait_ms <= 0;
}

std::int64_t MaxWaitMs(const StreamAdmissionPlan& arrival,
                       const Decision& decision) {
  if (decision.reason != DecisionReason::kNoneHasRoom) {
    return std::max(arrival.may_wait_ms, kNoEngineWaitMs);
  }
  return AwaitsPeerNews(arrival, decision) ? arrival.peer_news_ms
                                           : arrival.may_wait_ms;
}

}  // namespace

////////////
// Placement
////////////

WorkItem StreamSession::MakeWork() const {
  WorkItem work;
  work.request = this->request.id;
  work.workspace = this->terms.workspace;
  work.template_name = this->terms.route;
  work.service = this->terms.service;
  if (this->request.generation.has_value()) {
    const GenerationSize& size = *this->request.generation;
    work.model = size.model;
    work.prompt_tokens = size.prompt_tokens;
    work.max_output_tokens = size.max_output_tokens;
    work.hinted_output_tokens = size.hinted_output_tokens;
  }
  work.arrived_ms = this->deps.clock.WallMs();
  work.deadline_ms =
      work.arrived_ms + std::max<std::int64_t>(1, this->RemainingMs());
  work.urgency = UrgencyOf(this->terms);
  work.allowed_regions = this->terms.allowed_regions;
  work.software = this->versions;
  work.tokens_per_event = this->tokens_per_event;
  work.max_token_gap_us = this->MaxTokenGapUs();
  return work;
}

std::int64_t StreamSession::MaxTokenGapUs() const {
  constexpr std::int64_t kUsPerMs = 1'000;
  return this->terms.max_event_gap_ms * kUsPerMs /
         std::max<std::int64_t>(1, this->tokens_per_event);
}

void StreamSession::Begin() {
  this->since_first_try_ms = this->stream_deps.first_tries.Elapsed(
      this->terms.route, this->request.allowed_ms);
  this->deps.budgets.BudgetFor(this->terms.service).NoteFirstAttempt();
  this->versions = this->deps.versions.RuleForRequest(this->terms.service,
                                                      this->terms.route);
  this->writer->OnClosed([this] { this->OnCallerGone(); });
  this->writer->OnDrained([this] {
    this->paused = false;
    this->reading_since_ms = this->deps.clock.MonotonicMs();
    if (this->call != 0) {
      this->deps.client.SetPaused(this->call, false);
    }
  });
  this->deps.scheduler.After(std::max<std::int64_t>(0, this->RemainingMs()),
                             this->life.Guarded([this] {
                               if (this->phase != StreamPhase::kEnded) {
                                 this->OnDeadline();
                               }
                             }));
  this->RequestPlacement();
}

void StreamSession::RequestPlacement() {
  this->phase = StreamPhase::kQueued;
  if (this->RefuseIfQuarantined() || this->RefuseIfStopEndsFirst()) {
    return;
  }
  const StreamAdmissionPlan arrival = this->stream_deps.admission.Plan(
      {this->terms.target_latency_ms, this->ElapsedMs(), this->RemainingMs()});
  WorkItem work = this->MakeWork();
  work.first_event_within_ms = arrival.first_event_within_ms;
  work.is_late = arrival.is_late;
  this->stream_deps.allocation.Choose(
      work, this->life.Guarded([this, arrival, work](const Decision& chosen) {
        this->OnPlacement(arrival, work, chosen);
      }));
}

bool StreamSession::RefuseIfQuarantined() {
  const auto lasts_ms = this->guarded.QuarantinedForMs();
  if (lasts_ms.has_value()) {
    this->Refuse(ErrorId::kQuarantined, Outcome::kNotRun, "quarantine",
                 "servers ended each time they ran this request", *lasts_ms);
  }
  return lasts_ms.has_value();
}

// By now the caller may have disconnected. The engine may have left, as another
// host may have chosen it by older information.
void StreamSession::OnPlacement(const StreamAdmissionPlan& arrival,
                                WorkItem work, const Decision& decision) {
  if (this->phase != StreamPhase::kQueued) {
    return;
  }
  if (decision.engine.has_value() && this->MaySendTo(*decision.engine)) {
    work.prefill_ahead_tokens = decision.prefill_ahead_tokens;
    this->stream_deps.fleet.NoteSent(work, *decision.engine,
                                     this->deps.clock.WallMs());
    this->SendTo(decision);
    return;
  }
  if (this->FallBackToOtherVersions() || this->RefuseUnservable() ||
      this->RefuseIfHeldBack()) {
    return;
  }
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  if (this->queue_until_ms < 0) {
    this->queue_until_ms = now_ms + MaxWaitMs(arrival, decision);
  }
  const std::int64_t wait_ms = this->queue_until_ms - now_ms;
  LogLine("queue")
      .Add("request", this->request.id)
      .Add("workspace", this->terms.workspace)
      .Add("why", DecisionReasonName(decision.reason))
      .Add("candidates", CandidatesText(decision))
      .Add("within_ms", arrival.first_event_within_ms)
      .Add("since_first_try_ms", this->ElapsedMs())
      .Add("wait_ms", wait_ms)
      .Add("rests_on_peer_run", decision.rests_on_peer_run ? "yes" : "no")
      .Write();
  if (wait_ms <= 0) {
    this->RefuseQueued(decision.reason);
  } else if (AwaitsPeerNews(arrival, decision)) {
    this->RetryPlacementAfter(std::min(kPeerNewsRetryMs, wait_ms));
  } else if (this->stream_deps.allocation.IsShared()) {
    const bool was_placed = decision.engine.has_value();
    this->RetryPlacementAfter(std::min(
        was_placed ? kChangePropagationMs : kPlacementRetryMs, wait_ms));
  } else {
    this->Enqueue(work, decision.reason, wait_ms);
  }
}

// Asks once more if no engine of the versions meant for the first attempt can
// take the request.
bool StreamSession::FallBackToOtherVersions() {
  if (this->versions.kind != VersionRule::Kind::kOnly ||
      std::exchange(this->fell_back, true)) {
    return false;
  }
  this->versions = this->deps.versions.RuleForRetry(this->terms.service);
  this->RequestPlacement();
  return true;
}

// Repeats the request for a placement until the host that allocates the engines
// finds room.
void StreamSession::RetryPlacementAfter(std::int64_t after_ms) {
  this->deps.scheduler.After(after_ms, this->life.Guarded([this] {
    if (this->phase == StreamPhase::kQueued) {
      this->RequestPlacement();
    }
  }));
}

void StreamSession::Enqueue(const WorkItem& work, DecisionReason why,
                            std::int64_t wait_ms) {
  const DispatchResult queued = this->stream_deps.dispatcher.Offer(
      work, this->deps.clock.WallMs(), this->deps.random());
  if (queued.verdict == AdmissionVerdict::kAdmitted) {
    this->SendTo(queued.decision);
    return;
  }
  if (queued.verdict == AdmissionVerdict::kRefused) {
    this->RefuseFromQueue(queued.refusal, queued.retry_after_ms);
    return;
  }
  this->deps.scheduler.After(wait_ms, this->life.Guarded([this, why] {
    if (this->phase == StreamPhase::kQueued) {
      this->RefuseQueued(why);
    }
  }));
}

std::int64_t StreamSession::ElapsedMs() const {
  return this->since_first_try_ms + this->deps.clock.MonotonicMs() -
         this->begun_ms;
}

// The retry delay depends on the reason: engines without room have some when
// the load peak is over, and if no engine is usable at all, one may be listed
// shortly.
void StreamSession::RefuseQueued(DecisionReason why) {
  this->stream_deps.dispatcher.Cancel(this->request.id);
  if (why != DecisionReason::kNoneHasRoom) {
    this->Refuse(ErrorId::kNoEngine, Outcome::kNotRun, "choose",
                 "no engine can be used", kNoEngineRetryMs);
    return;
  }
  this->Refuse(ErrorId::kOverloaded, Outcome::kNotRun, "choose",
               "no engine can begin it in time",
               this->stream_deps.admission.ReturnAfterMs(this->RemainingMs(),
                                                         this->deps.random()));
}

// The host that chose the engine may have had older information than this host
// has now.
bool StreamSession::MaySendTo(std::string_view key) const {
  const SendObstacle obstacle = ObstacleTo(
      this->deps, this->deps.backends.Find(key),
      {this->terms.service, this->terms.allowed_regions, this->versions});
  if (obstacle != SendObstacle::kNone) {
    LogLine("send-held")
        .Add("request", this->request.id)
        .Add("engine", key)
        .Add("why", SendObstacleName(obstacle))
        .Write();
  }
  return obstacle == SendObstacle::kNone;
}

// Refuses the request at once in cases in which waiting does not help, e.g. if
// all engines are in emptied availability zones: nobody knows when these are
// put back into use.
bool StreamSession::RefuseUnservable() {
  if (this->terms.allowed_regions.has_value() &&
      !this->deps.backends.HasServerInHomeRegions(
          this->terms.service, this->terms.allowed_regions)) {
    this->Refuse(ErrorId::kOutsideAllowedRegions, Outcome::kNotRun, "choose",
                 "no engine is in its regions", -1);
    return true;
  }
  if (this->deps.backends.IsEmptied(this->terms.service)) {
    this->Refuse(ErrorId::kNoEngine, Outcome::kNotRun, "choose",
                 "the availability zones of all engines are emptied",
                 kEmptiedZoneRetryMs);
    return true;
  }
  return false;
}

// Another placement in the same turn of the event loop may have used up the
// engine's arrival limit.
void StreamSession::SendTo(const Decision& decision) {
  this->in_fleet_state = true;
  if (!this->MaySendTo(*decision.engine)) {
    this->ReleaseFleetState(StreamEnd::kCut);
    this->RetryPlacementAfter(kChangePropagationMs);
    return;
  }
  if (this->deps.permits.IsLimited(*decision.engine)) {
    this->AskPermit(decision);
  } else {
    this->SendWithPermit(decision);
  }
}

// Refuses the request at once if every engine that may get it is held back by
// the rate that it names or the backoff that it has asked for: waiting would
// keep the caller from coming back when that ends.
bool StreamSession::RefuseIfHeldBack() {
  const std::optional<std::int64_t> held_ms =
      HeldBackMs(this->deps, this->terms, this->versions);
  if (held_ms.has_value()) {
    this->Refuse(ErrorId::kOverloaded, Outcome::kNotRun, "choose",
                 "all engines have named a rate or asked for a backoff",
                 *held_ms);
  }
  return held_ms.has_value();
}

// An engine whose permits are used up is passed over by the next choice. If it
// is chosen all the same, the permits left are for more urgent requests.
void StreamSession::AskPermit(const Decision& decision) {
  const std::string& chosen = *decision.engine;
  const bool was_refused =
      std::find(this->without_permit.begin(), this->without_permit.end(),
                chosen) != this->without_permit.end();
  if (was_refused) {
    this->Refuse(
        ErrorId::kOverloaded, Outcome::kNotRun, "choose",
        "no engine has room within the rate that it names",
        std::max(kChangePropagationMs, this->deps.permits.ExhaustedForMs(
                                           chosen, UrgencyOf(this->terms))));
    return;
  }
  this->deps.permits.Ask(
      chosen, UrgencyOf(this->terms),
      this->life.Guarded([this, decision](const PermitDecision& permit) {
        if (this->phase != StreamPhase::kQueued) {
          return;
        }
        if (permit.granted && this->MaySendTo(*decision.engine)) {
          this->SendWithPermit(decision);
          return;
        }
        this->without_permit.push_back(*decision.engine);
        this->ReleaseFleetState(StreamEnd::kCut);
        this->RequestPlacement();
      }));
}

// Asks the quarantine once more, as crashes may have become known since the
// request was placed.
void StreamSession::SendWithPermit(const Decision& decision) {
  if (this->RefuseIfQuarantined() ||
      this->RefuseIfStopEndsFirstAt(*decision.engine)) {
    return;
  }
  LogLine line("route");
  line.Add("request", this->request.id)
      .Add("workspace", this->terms.workspace)
      .Add("route", this->terms.route)
      .Add("rule", ExecutionRuleName(this->terms.rule))
      .Add("plan", this->terms.version)
      .Add("attempt", this->resumes + 1)
      .Add("engine", *decision.engine)
      .Add("why", DecisionReasonName(decision.reason));
  if (this->request.generation.has_value()) {
    const GenerationSize& size = *this->request.generation;
    line.Add("prompt", size.prompt_tokens)
        .Add("most_output", size.max_output_tokens)
        .Add("hinted_output", size.hinted_output_tokens);
  }
  line.Add("candidates", CandidatesText(decision))
      .Add("left_ms", this->RemainingMs())
      .Write();
  this->Send(*this->deps.backends.Find(*decision.engine), std::nullopt);
}

void StreamSession::RefuseFromQueue(RefusalReason reason,
                                    std::int64_t retry_after_ms) {
  this->Refuse(ErrorId::kOverloaded, Outcome::kNotRun, "queue",
               RefusalReasonName(reason), retry_after_ms);
}

void StreamSession::Send(const Backend& backend,
                         const std::optional<Continuation>& from) {
  this->engine = backend.key;
  this->events_before = this->events;
  this->phase = from.has_value() ? StreamPhase::kResuming : StreamPhase::kSent;
  this->resumed_from = from;
  this->deferred_end.reset();
  this->paused = false;
  this->is_event_stream = false;
  this->whole_body.Clear();
  this->splitter.DropRest();
  this->sequence.BeginAttempt();
  this->limit = StreamLimit(MaxOutputTokens(this->request));
  SendTerms send;
  send.address = backend.entry.address;
  send.instance = backend.entry.id;
  send.workspace = this->terms.workspace;
  send.urgency = this->terms.urgency;
  send.tells_urgency = true;
  send.left_ms = std::max<std::int64_t>(1, this->RemainingMs());
  send.continuation = from;
  send.may_resume = this->terms.resumable;
  HttpRequest http = this->deps.wire.RequestFor(this->request, send);
  http.connect_timeout_ms = kBackendConnectMs;
  http.send_once = true;
  http.reuse_idle_ms = 0;
  ++this->attempts;
  this->sent_ms = this->deps.clock.MonotonicMs();
  this->attempt_first_event_ms = -1;
  this->attempt_good = false;
  this->deps.arrivals.NoteSent(backend.key, this->deps.clock.MonotonicMs());
  this->call = this->deps.client.Start(http, this);
}

}  // namespace meadowthread
