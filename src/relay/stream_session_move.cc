// How a stream goes on at another engine.
#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/log_line.h"
#include "relay/attempt_outcome.h"
#include "relay/stream_session.h"

namespace meadowthread {
namespace {

// Engines leave every few seconds, and a report lasts for ten: more than this
// is a run that nobody can hold.
constexpr int kMostResumes = 12;
// A source that may be sent nothing for the moment may be within a second.
constexpr std::int64_t kLongestPermitWaitMs = 1'200;
constexpr std::int64_t kPermitStepMs = 20;

}  // namespace

///////////////
// Moving it
///////////////

bool StreamSession::MoveTo(const std::string& target) {
  const Backend* const source = this->parts.backends.Find(this->engine);
  const Backend* const to = this->parts.backends.Find(target);
  if (this->phase != StreamPhase::kStreaming || this->move != nullptr ||
      this->resumes >= kMostResumes || source == nullptr ||
      !this->MaySendTo(target)) {
    return false;
  }
  MovePlan plan;
  plan.run = this->request.id;
  plan.source_address = source->entry.address;
  plan.target = target;
  plan.target_address = to->entry.address;
  plan.memory_tokens = this->MemoryTokens();
  plan.source = source->key;
  plan.source_started_ms = source->entry.started_ms;
  // The copy takes memory there from the first order on.
  WorkItem copy = this->MakeWork();
  copy.request = this->CopyName();
  copy.prompt_tokens = plan.memory_tokens;
  copy.is_copy = true;
  this->stream_parts.fleet.NoteSent(copy, target, this->parts.clock.WallMs());
  this->parts.arrivals.Hold(target);
  this->move = std::make_unique<RunMove>(this->control, this->parts.clock,
                                         *this, std::move(plan));
  this->move->Begin();
  return true;
}

// The run's sending counts by itself from here on, or does not come.
void StreamSession::EndMove() {
  this->DropCopyNote();
  this->parts.arrivals.Release(this->move->Plan().target);
}

// Who has the run's memory: the target, and the source for some seconds more.
const Backend* StreamSession::HolderOf(const Continuation& from,
                                       std::string_view target) const {
  const std::int64_t now_ms = this->parts.clock.MonotonicMs();
  const std::string_view own = this->engine;
  const std::array<std::string_view, 2> holders = {
      target.empty() ? own : target, from.source_key};
  for (const std::string_view key : holders) {
    const Backend* const holder = this->parts.backends.Find(key);
    if (holder != nullptr && holder->MayGoOn(now_ms)) {
      return holder;
    }
  }
  return nullptr;
}

void StreamSession::OnMoveReady(const Continuation& continuation,
                                const std::string& target) {
  Continuation from = continuation;
  from.last_event = this->last_id;
  ++this->resumes;
  const Backend* const holder = this->HolderOf(from, target);
  this->EndMove();
  this->old_moves.push_back(std::move(this->move));
  if (holder == nullptr) {
    this->BreakOff("no engine that holds the run's memory may go on with it");
    return;
  }
  if (this->guarded.QuarantinedForMs().has_value()) {
    this->BreakOff("servers ended each time they ran this request");
    return;
  }
  LogLine("move-resumes")
      .Add("request", this->request.id)
      .Add("engine", holder->key)
      .Add("after_event", this->last_id)
      .Write();
  // The target's place was held for it since the move began.
  if (holder->key == target) {
    this->Resume(*holder, from);
  } else {
    this->ResumeWhenPermitted(
        holder->key, from,
        this->parts.clock.MonotonicMs() + kLongestPermitWaitMs);
  }
}

void StreamSession::Resume(const Backend& holder, const Continuation& from) {
  if (this->noted && holder.key != this->engine) {
    this->stream_parts.fleet.NoteMoved(this->request.id, holder.key,
                                       this->parts.clock.WallMs());
  }
  this->Send(holder, from);
}

// The source counts what it is sent like any other engine, and keeps the memory
// for longer than it takes until it may be sent something again.
void StreamSession::ResumeWhenPermitted(const std::string& holder,
                                        const Continuation& from,
                                        std::int64_t until_ms) {
  if (this->phase == StreamPhase::kEnded) {
    return;
  }
  const std::int64_t now_ms = this->parts.clock.MonotonicMs();
  const Backend* const backend = this->parts.backends.Find(holder);
  if (backend == nullptr || !backend->MayGoOn(now_ms) || now_ms > until_ms) {
    this->LeaveEngine(AttemptResult::kFailed);
    this->BreakOff("the run could not go on");
    return;
  }
  if (this->parts.arrivals.May(holder, now_ms)) {
    this->Resume(*backend, from);
    return;
  }
  this->phase = StreamPhase::kBetween;
  this->parts.scheduler.After(
      kPermitStepMs, this->life.Guarded([this, holder, from, until_ms] {
        this->ResumeWhenPermitted(holder, from, until_ms);
      }));
}

void StreamSession::OnMoveOver(MoveEnd end) {
  this->EndMove();
  if (end == MoveEnd::kNoRoom) {
    this->stream_parts.fleet.NoteNoRoom(this->move->Plan().target,
                                        this->parts.clock.WallMs());
  }
  this->old_moves.push_back(std::move(this->move));
  if (this->held_end.has_value()) {
    // Its stream has ended and nothing is there to go on with.
    const HttpEnd held = *this->held_end;
    this->held_end.reset();
    this->OnBroken(held);
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

// Bytes that the start before had sent may still come, and a caller that reads
// slowly holds them back. A request that nothing has come for yet may be with
// the new start: its connection tells.
bool StreamSession::EndIfSilent(std::int64_t silent_ms) {
  const bool is_waiting = this->phase == StreamPhase::kStreaming &&
                          this->call != 0 && !this->paused;
  const std::int64_t since_ms =
      this->parts.clock.MonotonicMs() -
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
  HttpEnd end;
  end.status = MakeError(absl::StatusCode::kUnavailable, detail,
                         "the engine has started again");
  end.request_may_have_left = true;
  this->OnEnd(end);
  return true;
}

std::string StreamSession::CopyName() const {
  return absl::StrCat("copy/", this->request.id);
}

void StreamSession::DropCopyNote() {
  this->stream_parts.fleet.NoteEnded(this->CopyName(), StreamEnd::kCut,
                                     this->parts.clock.WallMs());
}

// The engine that should go on did not: the source has stopped and keeps the
// memory for some seconds.
void StreamSession::OnResumeFailed(const HttpEnd& end, AnswerMeaning read) {
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
    this->guarded.NoteCut(UnannouncedServer(this->parts.backends, this->engine),
                          true);
  }
  this->LeaveEngine(AttemptResult::kFailed);
  this->BreakOff("the run could not go on");
}

bool StreamSession::ResumeAtSource() {
  if (this->resumes >= kMostResumes ||
      this->engine == this->resumed_from->source_key) {
    return false;
  }
  const std::int64_t now_ms = this->parts.clock.MonotonicMs();
  const Backend* const back =
      this->parts.backends.FindAddress(this->resumed_from->source);
  if (back == nullptr || back->key != this->resumed_from->source_key ||
      !back->MayGoOn(now_ms)) {
    return false;
  }
  ++this->resumes;
  this->ResumeWhenPermitted(back->key, *this->resumed_from,
                            now_ms + kLongestPermitWaitMs);
  return true;
}

}  // namespace meadowthread
