// How a stream comes to an engine.
#include <algorithm>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/error.h"
#include "base/log_line.h"
#include "relay/stream_session.h"

namespace meadowthread {
namespace {

// Where no engine can be used at all, one may be listed a moment later.
constexpr std::int64_t kNoEngineWaitMs = 400;
// Runs of an engine end some three times a second.
constexpr std::int64_t kAskAgainMs = 250;
// Within this the host that hands out places has heard of a change as well.
constexpr std::int64_t kTellMs = 50;

Urgency UrgencyOf(int urgency) {
  return urgency <= 0 ? Urgency::kUrgent
                      : (urgency == 1 ? Urgency::kNormal : Urgency::kBatch);
}

// The best few: engine, cost, requests there, part of its memory with this one,
// expected time to the first event.
std::string CandidatesText(const Decision& decision) {
  std::string text;
  for (const Candidate& one : decision.considered) {
    absl::StrAppend(&text, text.empty() ? "" : ",", one.engine, ":",
                    absl::StrFormat("%.3f", one.cost), ":", one.in_flight, ":",
                    absl::StrFormat("%.2f", one.overfill_chance), ":",
                    one.first_event_ms);
  }
  return text;
}

}  // namespace

///////////////
// Placing it
///////////////

WorkItem StreamSession::MakeWork() const {
  WorkItem work;
  work.request = this->request.id;
  work.workspace = this->terms.workspace;
  work.template_name = this->terms.route;
  if (this->request.generation.has_value()) {
    const GenerationSize& size = *this->request.generation;
    work.model = size.model;
    work.prompt_tokens = size.prompt_tokens;
    work.max_output_tokens = size.max_output_tokens;
  }
  work.arrived_ms = this->parts.clock.WallMs();
  work.deadline_ms =
      work.arrived_ms + std::max<std::int64_t>(1, this->LeftMs());
  work.urgency = UrgencyOf(this->terms.urgency);
  work.homes = this->terms.homes;
  return work;
}

void StreamSession::Begin() {
  this->since_first_try_ms = this->stream_parts.first_tries.Elapsed(
      this->terms.route, this->request.allowed_ms);
  this->parts.budgets.Of(this->terms.service).NoteFirstAttempt();
  this->writer->OnClosed([this] { this->OnCallerGone(); });
  this->writer->OnDrained([this] {
    this->paused = false;
    this->reading_since_ms = this->parts.clock.MonotonicMs();
    if (this->call != 0) {
      this->parts.client.SetPaused(this->call, false);
    }
  });
  this->parts.scheduler.After(std::max<std::int64_t>(0, this->LeftMs()),
                              this->life.Guarded([this] {
                                if (this->phase != StreamPhase::kEnded) {
                                  this->OnDeadline();
                                }
                              }));
  this->Offer();
}

void StreamSession::Offer() {
  this->phase = StreamPhase::kQueued;
  if (this->EndsInQuarantine()) {
    return;
  }
  const ArrivalPlan arrival = this->stream_parts.admission.Plan(
      {this->terms.target_latency_ms, this->ElapsedMs(), this->LeftMs()});
  WorkItem work = this->MakeWork();
  work.first_event_within_ms = arrival.first_event_within_ms;
  work.is_late = arrival.is_late;
  this->stream_parts.allocation.Choose(
      work, this->life.Guarded([this, arrival, work](const Decision& chosen) {
        this->TakeChoice(arrival, work, chosen);
      }));
}

bool StreamSession::EndsInQuarantine() {
  const auto lasts_ms = this->guarded.QuarantinedForMs();
  if (lasts_ms.has_value()) {
    this->Refuse(ErrorId::kQuarantined, Outcome::kNotRun, "quarantine",
                 "servers ended each time they ran this request", *lasts_ms);
  }
  return lasts_ms.has_value();
}

// The caller may have gone meanwhile, and so may the engine: another host
// chose it by what it knew then.
void StreamSession::TakeChoice(const ArrivalPlan& arrival, WorkItem work,
                               const Decision& decision) {
  if (this->phase != StreamPhase::kQueued) {
    return;
  }
  if (decision.engine.has_value() && this->MaySendTo(*decision.engine)) {
    work.reading_ahead = decision.reading_ahead;
    this->stream_parts.fleet.NoteSent(work, *decision.engine,
                                      this->parts.clock.WallMs());
    this->SendTo(decision);
    return;
  }
  if (this->RefuseUnservable()) {
    return;
  }
  const std::int64_t now_ms = this->parts.clock.MonotonicMs();
  if (this->waits_until_ms < 0) {
    std::int64_t wait_ms = arrival.may_wait_ms;
    if (decision.reason != DecisionReason::kNoneHasRoom) {
      wait_ms = std::max(wait_ms, kNoEngineWaitMs);
    }
    this->waits_until_ms = now_ms + wait_ms;
  }
  const std::int64_t wait_ms = this->waits_until_ms - now_ms;
  LogLine("queue")
      .Add("request", this->request.id)
      .Add("workspace", this->terms.workspace)
      .Add("why", DecisionReasonName(decision.reason))
      .Add("candidates", CandidatesText(decision))
      .Add("within_ms", arrival.first_event_within_ms)
      .Add("since_first_try_ms", this->ElapsedMs())
      .Add("wait_ms", wait_ms)
      .Write();
  if (wait_ms <= 0) {
    this->RefuseQueued(decision.reason);
  } else if (this->stream_parts.allocation.IsShared()) {
    const bool was_given = decision.engine.has_value();
    this->AskAgain(std::min(was_given ? kTellMs : kAskAgainMs, wait_ms));
  } else {
    this->Queue(work, decision.reason, wait_ms);
  }
}

// Room that another host gives away is asked for until there is some.
void StreamSession::AskAgain(std::int64_t after_ms) {
  this->parts.scheduler.After(after_ms, this->life.Guarded([this] {
    if (this->phase == StreamPhase::kQueued) {
      this->Offer();
    }
  }));
}

void StreamSession::Queue(const WorkItem& work, DecisionReason why,
                          std::int64_t wait_ms) {
  const DispatchAnswer queued = this->stream_parts.dispatcher.Offer(
      work, this->parts.clock.WallMs(), this->parts.random());
  if (queued.verdict == AdmissionVerdict::kAdmitted) {
    this->SendTo(queued.decision);
    return;
  }
  if (queued.verdict == AdmissionVerdict::kRefused) {
    this->GiveUp(queued.refusal, queued.retry_after_ms);
    return;
  }
  this->parts.scheduler.After(wait_ms, this->life.Guarded([this, why] {
    if (this->phase == StreamPhase::kQueued) {
      this->RefuseQueued(why);
    }
  }));
}

std::int64_t StreamSession::ElapsedMs() const {
  return this->since_first_try_ms + this->parts.clock.MonotonicMs() -
         this->begun_ms;
}

// Engines without room have some when the crowd is over; where none can be used
// at all, one may be listed within a moment.
void StreamSession::RefuseQueued(DecisionReason why) {
  this->stream_parts.dispatcher.Cancel(this->request.id);
  if (why != DecisionReason::kNoneHasRoom) {
    this->Refuse(ErrorId::kNoEngine, Outcome::kNotRun, "choose",
                 "no engine can be used", kNoEngineRetryMs);
    return;
  }
  this->Refuse(ErrorId::kOverloaded, Outcome::kNotRun, "choose",
               "no engine can begin it in time",
               this->stream_parts.admission.ReturnAfterMs(
                   this->LeftMs(), this->parts.random()));
}

// Whoever chose the engine may have known less than this host does now.
bool StreamSession::MaySendTo(std::string_view key) const {
  const Backend* const backend = this->parts.backends.Find(key);
  return backend != nullptr && backend->TakesNew() &&
         MayRunIn(this->terms.homes, backend->region) &&
         this->parts.arrivals.May(key, this->parts.clock.MonotonicMs());
}

// What no waiting here helps: nobody knows when a zone is taken back.
bool StreamSession::RefuseUnservable() {
  if (this->terms.homes.has_value() &&
      !this->parts.backends.HasHome(this->terms.service, this->terms.homes)) {
    this->Refuse(ErrorId::kOutsideHomes, Outcome::kNotRun, "choose",
                 "no engine is in its regions", -1);
    return true;
  }
  if (this->parts.backends.IsEmptied(this->terms.service)) {
    this->Refuse(ErrorId::kNoEngine, Outcome::kNotRun, "choose",
                 "the availability zones of all engines are emptied",
                 kEmptiedRetryMs);
    return true;
  }
  return false;
}

// Another choice of the same turn may have taken the last request that the
// engine withstands now.
void StreamSession::SendTo(const Decision& decision) {
  this->noted = true;
  if (!this->MaySendTo(*decision.engine)) {
    this->LeaveEngine(AttemptResult::kGood);
    this->AskAgain(kTellMs);
    return;
  }
  LogLine line("route");
  line.Add("request", this->request.id)
      .Add("workspace", this->terms.workspace)
      .Add("route", this->terms.route)
      .Add("rule", RunRuleName(this->terms.rule))
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
      .Add("left_ms", this->LeftMs())
      .Write();
  this->Send(*this->parts.backends.Find(*decision.engine), std::nullopt);
}

void StreamSession::GiveUp(RefusalReason reason, std::int64_t retry_after_ms) {
  this->Refuse(ErrorId::kOverloaded, Outcome::kNotRun, "queue",
               RefusalReasonName(reason), retry_after_ms);
}

void StreamSession::Send(const Backend& backend,
                         const std::optional<Continuation>& from) {
  this->engine = backend.key;
  this->events_before = this->events;
  this->phase = from.has_value() ? StreamPhase::kBetween : StreamPhase::kSent;
  this->resumed_from = from;
  this->held_end.reset();
  this->paused = false;
  this->is_event_stream = false;
  this->whole_body.clear();
  this->cutter.DropRest();
  SendTerms send;
  send.address = backend.entry.address;
  send.instance = backend.entry.id;
  send.workspace = this->terms.workspace;
  send.urgency = this->terms.urgency;
  send.tells_urgency = true;
  send.left_ms = std::max<std::int64_t>(1, this->LeftMs());
  send.continuation = from;
  send.may_resume = this->terms.resumable;
  HttpRequest http = this->parts.wire.RequestFor(this->request, send);
  http.connect_timeout_ms = kBackendConnectMs;
  http.send_once = true;
  http.reuse_idle_ms = 0;
  ++this->sendings;
  this->parts.arrivals.NoteSent(backend.key, this->parts.clock.MonotonicMs());
  this->call = this->parts.client.Start(http, this);
}

}  // namespace meadowthread
