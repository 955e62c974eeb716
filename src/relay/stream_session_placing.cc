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

// A queued request is sent to the best engine, room or not, once it has waited
// this part of the time in which its first event is wanted.
constexpr double kForceAfterPart = 0.3;
constexpr std::int64_t kForceDefaultMs = 500;

Urgency UrgencyOf(int urgency) {
  return urgency <= 0 ? Urgency::kUrgent
                      : (urgency == 1 ? Urgency::kNormal : Urgency::kBatch);
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
  return work;
}

void StreamSession::Begin() {
  this->parts.budgets.Of(this->terms.service).NoteFirstAttempt();
  this->writer->OnClosed([this] { this->OnCallerGone(); });
  this->writer->OnDrained([this] {
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
  const DispatchAnswer answer = this->stream_parts.dispatcher.Offer(
      this->MakeWork(), this->parts.clock.WallMs(), this->parts.random());
  if (answer.verdict == AdmissionVerdict::kAdmitted) {
    this->SendTo(answer.decision);
    return;
  }
  if (answer.verdict == AdmissionVerdict::kRefused) {
    this->GiveUp(answer.refusal, answer.retry_after_ms);
    return;
  }
  LogLine("queue")
      .Add("request", this->request.id)
      .Add("workspace", this->terms.workspace)
      .Add("why", DecisionReasonName(answer.decision.reason))
      .Write();
  const auto wait_ms =
      this->terms.target_latency_ms > 0
          ? static_cast<std::int64_t>(
                kForceAfterPart *
                static_cast<double>(this->terms.target_latency_ms))
          : kForceDefaultMs;
  this->parts.scheduler.After(wait_ms, this->life.Guarded([this] {
    if (this->phase == StreamPhase::kQueued) {
      this->Force();
    }
  }));
}

// Engines queue by urgency themselves: from some time on a place in an engine's
// queue is worth more than one here.
void StreamSession::Force() {
  this->stream_parts.dispatcher.Cancel(this->request.id);
  const DispatchAnswer answer = this->stream_parts.dispatcher.Force(
      this->MakeWork(), this->parts.clock.WallMs(), this->parts.random());
  if (answer.verdict == AdmissionVerdict::kAdmitted) {
    this->SendTo(answer.decision);
    return;
  }
  this->Refuse(ErrorId::kNoEngine, Outcome::kNotRun, "choose",
               "no engine can be used", kNoEngineRetryMs);
}

void StreamSession::SendTo(const Decision& decision) {
  this->noted = true;
  const Backend* const backend = this->parts.backends.Find(*decision.engine);
  LogLine line("route");
  line.Add("request", this->request.id)
      .Add("workspace", this->terms.workspace)
      .Add("route", this->terms.route)
      .Add("rule", RunRuleName(this->terms.rule))
      .Add("plan", this->terms.version)
      .Add("attempt", this->resumes + 1)
      .Add("engine", *decision.engine)
      .Add("why", DecisionReasonName(decision.reason));
  std::string candidates;
  for (const Candidate& one : decision.considered) {
    absl::StrAppend(&candidates, candidates.empty() ? "" : ",", one.engine, ":",
                    absl::StrFormat("%.3f", one.cost), ":", one.in_flight);
  }
  line.Add("candidates", candidates).Add("left_ms", this->LeftMs()).Write();
  if (backend == nullptr) {
    this->LeaveEngine(AttemptResult::kGood);
    this->Refuse(ErrorId::kNoEngine, Outcome::kNotRun, "choose",
                 "the chosen engine is gone", kNoEngineRetryMs);
    return;
  }
  this->Send(*backend, std::nullopt);
}

void StreamSession::GiveUp(RefusalReason reason, std::int64_t retry_after_ms) {
  this->Refuse(ErrorId::kOverloaded, Outcome::kNotRun, "queue",
               RefusalReasonName(reason), retry_after_ms);
}

void StreamSession::Send(const Backend& backend,
                         const std::optional<Continuation>& from) {
  this->engine = backend.entry.id;
  this->phase = from.has_value() ? StreamPhase::kBetween : StreamPhase::kSent;
  this->resumed_from = from;
  this->held_end.reset();
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
  this->call = this->parts.client.Start(http, this);
}

}  // namespace meadowthread
