// Moves a stream to another engine and resumes it there.
#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/log_line.h"
#include "relay/attempt_outcome.h"
#include "relay/send_gate.h"
#include "relay/stream_session.h"

namespace meadowthread {
namespace {

// Engines may leave every few seconds, and a long generation lasts ten seconds,
// so a run that needs more resumes than this can't be kept alive.
constexpr int kMaxResumes = 12;
// Time limit for waiting until the source's arrival limit permits a request,
// which it does within a second.
constexpr std::int64_t kMaxPermitWaitMs = 1'200;
constexpr std::int64_t kPermitPollMs = 20;

}  // namespace

/////////
// Moving
/////////

bool StreamSession::MoveTo(const std::string& target) {
  const Backend* const source = this->deps.backends.Find(this->engine);
  const Backend* const to = this->deps.backends.Find(target);
  this->versions = this->deps.versions.RuleForMove(this->terms.service);
  if (this->phase != StreamPhase::kStreaming || this->move != nullptr ||
      this->resumes >= kMaxResumes || source == nullptr ||
      !this->MaySendTo(target)) {
    return false;
  }
  MovePlan plan;
  plan.run = this->request.id;
  plan.source_address = source->entry.address;
  plan.target = target;
  plan.target_address = to->entry.address;
  plan.memory_tokens = this->KvCacheTokens();
  plan.source = source->key;
  plan.source_started_ms = source->entry.started_ms;
  // The copy occupies memory at the target from the first order on.
  WorkItem copy = this->MakeWork();
  copy.request = this->CopyReservationId();
  copy.prompt_tokens = plan.memory_tokens;
  copy.is_copy = true;
  this->stream_deps.fleet.NoteSent(copy, target, this->deps.clock.WallMs());
  this->deps.arrivals.Hold(target);
  this->move = std::make_unique<RunMove>(this->control, this->deps.clock, *this,
                                         std::move(plan));
  this->move->Begin();
  return true;
}

// The reservations are no longer needed: a resumed request is counted at its
// engine from the moment it is sent.
void StreamSession::ReleaseMoveReservations() {
  this->ReleaseCopyReservation();
  this->deps.arrivals.Release(this->move->Plan().target);
}

// Returns the engine that holds the run's KV cache: the target, or the source,
// which keeps it for some more seconds. One that has asked for a backoff comes
// last.
const Backend* StreamSession::FindKvCacheHolder(const Continuation& from,
                                                std::string_view target) const {
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  const std::string_view own = this->engine;
  const std::array<std::string_view, 2> holders = {
      target.empty() ? own : target, from.source_key};
  const Backend* in_backoff = nullptr;
  for (const std::string_view key : holders) {
    const Backend* const holder = this->deps.backends.Find(key);
    if (holder == nullptr || !holder->MayContinueRuns(now_ms)) {
      continue;
    }
    if (this->deps.backoffs.RemainingMs(key, now_ms) <= 0) {
      return holder;
    }
    in_backoff = in_backoff == nullptr ? holder : in_backoff;
  }
  return in_backoff;
}

void StreamSession::OnMoveReady(const Continuation& continuation,
                                const std::string& target) {
  Continuation from = continuation;
  from.last_event = this->sequence.LastId();
  ++this->resumes;
  const Backend* const holder = this->FindKvCacheHolder(from, target);
  this->ReleaseMoveReservations();
  this->old_moves.push_back(std::move(this->move));
  if (holder == nullptr) {
    this->Interrupt("no engine that holds the run's memory may go on with it");
    return;
  }
  if (this->guarded.QuarantinedForMs().has_value()) {
    this->Interrupt("servers ended each time they ran this request");
    return;
  }
  const std::int64_t until_ms =
      this->deps.clock.MonotonicMs() + kMaxPermitWaitMs;
  LogLine("move-resumes")
      .Add("request", this->request.id)
      .Add("engine", holder->key)
      .Add("after_event", this->sequence.LastId())
      .Write();
  // An arrival at the target was reserved when the move began.
  const bool is_in_backoff =
      this->deps.backoffs.RemainingMs(holder->key,
                                      this->deps.clock.MonotonicMs()) > 0;
  if (holder->key == target && !is_in_backoff) {
    this->ResumeWithPermit(holder->key, from, until_ms);
  } else {
    this->ResumeWhenPermitted(holder->key, from, until_ms);
  }
}

void StreamSession::Resume(const Backend& holder, const Continuation& from) {
  if (this->in_fleet_state && holder.key != this->engine) {
    this->stream_deps.fleet.NoteMoved(this->request.id, holder.key,
                                      this->deps.clock.WallMs());
  }
  this->Send(holder, from);
}

// The source's arrival limit applies to resumed runs as well. The source keeps
// the KV cache for longer than this limit can delay the request.
void StreamSession::ResumeWhenPermitted(const std::string& holder,
                                        const Continuation& from,
                                        std::int64_t until_ms) {
  if (this->phase == StreamPhase::kEnded) {
    return;
  }
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  const Backend* const backend = this->deps.backends.Find(holder);
  if (backend == nullptr || !backend->MayContinueRuns(now_ms) ||
      now_ms > until_ms) {
    this->RecordAttemptEnd(AttemptResult::kFailed);
    this->Interrupt("the run could not go on");
    return;
  }
  if (MayResumeAt(this->deps, holder)) {
    this->ResumeWithPermit(holder, from, until_ms);
  } else {
    this->ResumeLater(holder, from, until_ms);
  }
}

void StreamSession::ResumeLater(const std::string& holder,
                                const Continuation& from,
                                std::int64_t until_ms) {
  this->phase = StreamPhase::kResuming;
  this->deps.scheduler.After(
      kPermitPollMs, this->life.Guarded([this, holder, from, until_ms] {
        this->ResumeWhenPermitted(holder, from, until_ms);
      }));
}

// A run that has stopped is lost unless it goes on soon, so it is as urgent as
// any request.
void StreamSession::ResumeWithPermit(const std::string& holder,
                                     const Continuation& from,
                                     std::int64_t until_ms) {
  this->phase = StreamPhase::kResuming;
  this->deps.permits.Ask(
      holder, Urgency::kUrgent,
      this->life.Guarded(
          [this, holder, from, until_ms](const PermitDecision& permit) {
            const Backend* const backend = this->deps.backends.Find(holder);
            if (this->phase != StreamPhase::kResuming) {
              return;
            }
            if (this->guarded.QuarantinedForMs().has_value()) {
              this->Interrupt("servers ended each time they ran this request");
            } else if (permit.granted && backend != nullptr) {
              this->Resume(*backend, from);
            } else {
              this->ResumeLater(holder, from, until_ms);
            }
          }));
}

void StreamSession::OnMoveOver(MoveEnd end) {
  this->ReleaseMoveReservations();
  if (end == MoveEnd::kNoRoom) {
    this->stream_deps.fleet.NoteCopyRefused(this->move->Plan().target,
                                            this->deps.clock.WallMs());
  }
  this->old_moves.push_back(std::move(this->move));
  if (this->deferred_end.has_value()) {
    // The stream has ended and there is no copy to continue from.
    const HttpCallResult held = *this->deferred_end;
    this->deferred_end.reset();
    this->OnConnectionLost(held);
    return;
  }
  LogLine("move-over")
      .Add("request", this->request.id)
      .Add("engine", this->engine)
      .Add("end", static_cast<int>(end))
      .WriteImportant();
}

void StreamSession::NoteStartedAgain(std::string_view started_again) {
  for (const std::unique_ptr<RunMove>& old : this->old_moves) {
    old->NoteStartedAgain(started_again);
  }
  if (this->move != nullptr) {
    this->move->NoteStartedAgain(started_again);
  }
}

// Data that the engine sent before it started again may still arrive, and a
// caller that reads slowly delays it. A request that has no answer yet may have
// reached the new start, so its stream is ended only when its connection ends.
bool StreamSession::EndIfSilent(std::int64_t silent_ms) {
  const bool is_waiting = this->phase == StreamPhase::kStreaming &&
                          this->call != 0 && !this->paused;
  const std::int64_t since_ms =
      this->deps.clock.MonotonicMs() -
      std::max(this->last_event_ms, this->reading_since_ms);
  if (!is_waiting || since_ms < silent_ms) {
    return false;
  }
  LogLine("engine-started-again")
      .Add("request", this->request.id)
      .Add("engine", this->engine)
      .Add("silent_ms", since_ms)
      .WriteImportant();
  this->CancelCall();
  ErrorDetail detail;
  detail.id = ErrorId::kConnectionLost;
  detail.outcome = Outcome::kUnknown;
  detail.step = "read-answer";
  detail.peer = this->engine;
  HttpCallResult end;
  end.status = MakeError(absl::StatusCode::kUnavailable, detail,
                         "the engine has started again");
  end.request_may_have_left = true;
  this->OnEnd(end);
  return true;
}

std::string StreamSession::CopyReservationId() const {
  return absl::StrCat("copy/", this->request.id);
}

void StreamSession::ReleaseCopyReservation() {
  this->stream_deps.fleet.NoteEnded(this->CopyReservationId(), StreamEnd::kCut,
                                    this->deps.clock.WallMs());
}

// Called when the engine that was to continue the run has not done so. The
// source has stopped the run and keeps its KV cache for some seconds.
void StreamSession::OnResumeFailed(const HttpCallResult& end,
                                   AnswerMeaning read) {
  const AttemptVerdict verdict = JudgeAttempt(
      {end.request_may_have_left, end.status.ok() && IsRejection(read), false});
  const bool not_run = verdict.outcome == Outcome::kNotRun;
  LogLine("resume-failed")
      .Add("request", this->request.id)
      .Add("engine", this->engine)
      .Add("status", end.http_status)
      .Add("not_run", not_run ? "yes" : "no")
      .Add("why", std::string{end.status.message()})
      .WriteImportant();
  if (not_run && this->ResumeAtSource()) {
    return;
  }
  if (end.request_may_have_left && !not_run) {
    this->guarded.NoteInterrupted(
        ServerUnlessLeaving(this->deps.backends, this->engine), true);
  }
  this->RecordAttemptEnd(AttemptResult::kFailed);
  this->Interrupt("the run could not go on");
}

bool StreamSession::ResumeAtSource() {
  if (this->resumes >= kMaxResumes ||
      this->engine == this->resumed_from->source_key) {
    return false;
  }
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  const Backend* const back =
      this->deps.backends.FindByAddress(this->resumed_from->source);
  if (back == nullptr || back->key != this->resumed_from->source_key ||
      !back->MayContinueRuns(now_ms)) {
    return false;
  }
  ++this->resumes;
  this->ResumeWhenPermitted(back->key, *this->resumed_from,
                            now_ms + kMaxPermitWaitMs);
  return true;
}

}  // namespace meadowthread
