#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/log_line.h"
#include "gateway/generation_session.h"
#include "gateway/work_estimate.h"

// What follows once an engine answers: delivering, failing, ending.

namespace meadowthread {
namespace {

constexpr std::int64_t kResumeDelayMs = 50;
constexpr std::int64_t kMsPerSecond = 1000;

AttemptFailure FailureOf(const StreamClose& close) {
  if (close.rejected) {
    return close.reason == "full" ? AttemptFailure::kEngineFull
                                  : AttemptFailure::kEngineLeaving;
  }
  if (!close.may_have_left) {
    return AttemptFailure::kUnreachable;
  }
  return DetailOf(close.status).id == ErrorId::kPeerSilent
             ? AttemptFailure::kNoProgress
             : AttemptFailure::kLost;
}

}  // namespace

/////////////////////////////
// From the engine's stream
/////////////////////////////

void GenerationSession::OnGenerationStarted(const std::string& generation) {
  this->Apply(this->assembler.OnStarted(generation));
  if (this->phase != SessionPhase::kSending) {
    return;
  }
  this->phase = SessionPhase::kStreaming;
  this->caller->SetResumeToken(
      this->parts.tokens.Sign(this->MakeResumeClaims()));
}

void GenerationSession::OnToken(const TokenEvent& token) {
  this->Apply(this->assembler.OnToken(token));
}

void GenerationSession::OnFinished(const GenerationFinish& finish) {
  this->Apply(this->assembler.OnFinished(finish));
}

void GenerationSession::OnLost(const std::string& generation,
                               const std::string& reason) {
  if (generation != this->assembler.Generation()) {
    return;
  }
  this->AfterGenerationLost(this->ErrorOf(
      ErrorId::kGenerationLost, Outcome::kInterrupted, "stream", reason));
}

// The caller came back at another host, which reads the generation now. To
// read it again from here would take it away from there.
void GenerationSession::OnReplaced(const std::string& generation) {
  if (generation != this->assembler.Generation()) {
    return;
  }
  this->RetireStream();
  this->caller->Cut();
  this->EndPolicy(StreamEnd::kCut);
  this->Finish(Outcome::kNone, ErrorId::kInternal);
}

void GenerationSession::OnStreamClosed(const StreamClose& close) {
  if (this->phase == SessionPhase::kEnded) {
    return;
  }
  const AttemptVerdict verdict =
      JudgeAttempt({close.may_have_left, close.rejected,
                    this->phase == SessionPhase::kStreaming});
  absl::Status cause = close.status;
  if (cause.ok()) {
    cause = this->ErrorOf(
        close.rejected ? ErrorId::kRejectedByPeer : ErrorId::kConnectionLost,
        verdict.outcome, "stream",
        close.rejected ? close.reason : "the stream ended before its end");
  }
  if (close.may_have_left && !close.rejected) {
    this->guarded.NoteCut(this->UnannouncedEngine(),
                          this->assembler.NextIndex() == 0);
  }
  const AttemptFailure failure = FailureOf(close);
  if (IsEngineFault(failure)) {
    this->parts.fleet.EngineStalled(this->engine.engine,
                                    this->parts.clock.WallMs());
  }
  if (this->phase == SessionPhase::kStreaming) {
    if (verdict.may_resume) {
      this->ResumeSoon(cause);
    } else {
      this->AfterGenerationLost(cause);
    }
    return;
  }
  this->RetryElsewhere(failure, cause, verdict.outcome);
}

///////////////
// Delivering
///////////////

void GenerationSession::Apply(AssemblerAction verdict) {
  switch (verdict) {
    case AssemblerAction::kContinue:
      return;
    case AssemblerAction::kDeliver:
      this->DeliverReady();
      return;
    case AssemblerAction::kResume:
      this->DeliverReady();
      this->ResumeSoon(this->ErrorOf(ErrorId::kPeerMalformed,
                                     Outcome::kInterrupted, "stream",
                                     "tokens are missing"));
      return;
    case AssemblerAction::kOtherGeneration:
      this->AfterGenerationLost(
          this->ErrorOf(ErrorId::kGenerationLost, Outcome::kInterrupted,
                        "stream", "the engine streams another generation"));
      return;
    case AssemblerAction::kComplete:
      this->DeliverReady();
      if (this->phase != SessionPhase::kEnded) {
        this->Complete();
      }
      return;
  }
}

void GenerationSession::DeliverReady() {
  const std::vector<TokenEvent> tokens = this->assembler.TakeReady();
  if (tokens.empty()) {
    return;
  }
  this->resumes = 0;
  this->NoteTokenTimes(tokens.size());
  if (!this->caller->Deliver(tokens)) {
    this->CancelGeneration();
    this->EndPolicy(StreamEnd::kCut);
    this->Fail(this->ErrorOf(ErrorId::kBodyTooLarge, Outcome::kInterrupted,
                             "deliver",
                             "the answer is longer than a host may hold"));
    return;
  }
  if (this->noted_in_fleet) {
    this->parts.fleet.NoteTokens(this->start.request,
                                 this->assembler.NextIndex(),
                                 this->parts.clock.WallMs());
  }
  if (this->caller->IsSlow() && this->paused_since_ms == 0 &&
      this->stream != nullptr) {
    this->paused_since_ms = this->parts.clock.MonotonicMs();
    this->stream->SetPaused(true);
  }
}

void GenerationSession::NoteTokenTimes(std::size_t count) {
  const std::int64_t now = this->parts.clock.MonotonicMs();
  if (this->first_token_ms < 0) {
    this->first_token_ms = this->parts.clock.WallMs() - this->start.arrived_ms;
  } else {
    const std::int64_t gap = now - this->last_token_ms;
    this->longest_gap_ms = std::max(this->longest_gap_ms, gap);
    this->parts.observer->OnTokenGap(gap / static_cast<std::int64_t>(count));
  }
  this->last_token_ms = now;
  this->last_sign_ms = now;
}

void GenerationSession::Complete() {
  AnswerUsage usage;
  usage.prompt_tokens = EstimateTokens(this->start.asked.prompt);
  usage.completion_tokens = this->assembler.NextIndex();
  if (!this->resumed) {
    this->guarded.NoteCompleted();
  }
  this->RetireStream();
  this->RecordResult(usage);
  this->caller->Complete(this->assembler.FinishReason(), usage);
  this->EndPolicy(StreamEnd::kComplete);
  this->Finish(Outcome::kNone, ErrorId::kInternal);
}

/////////////////////////////
// Failing and trying again
/////////////////////////////

// No generation is known of the attempt that just failed.
void GenerationSession::RetryElsewhere(AttemptFailure failure,
                                       const absl::Status& cause,
                                       Outcome outcome) {
  this->EndPolicy(StreamEnd::kCut);
  this->RetireStream();
  LogLine line("attempt-failed");
  line.Add("request", this->start.request)
      .Add("attempt", this->attempts)
      .Add("engine", this->engine.engine)
      .Add("content", this->guarded.Content())
      .Add("outcome", OutcomeName(outcome))
      .Add("against_engine", IsEngineFault(failure) ? "yes" : "no")
      .Add("why", std::string{cause.message()})
      .Write();
  if (outcome == Outcome::kUnknown) {
    this->earlier = Outcome::kUnknown;
  }
  if (outcome == Outcome::kUnknown && this->start.terms.at_most_once) {
    this->Fail(WithOutcome(cause, Outcome::kUnknown));
    return;
  }
  this->SendAgain(cause, outcome);
}

// Allowed where the last attempt has certainly not run, or may be repeated.
void GenerationSession::SendAgain(const absl::Status& cause, Outcome outcome) {
  const std::int64_t now = this->parts.clock.WallMs();
  const RetryDecision answer = this->parts.retries.Ask(
      {this->attempts, this->DeadlineUnixMs()}, now, this->parts.random());
  if (answer.verdict != RetryVerdict::kRetry || this->caller_gone) {
    LogLine line("retry-refused");
    line.Add("request", this->start.request)
        .Add("why", RetryVerdictName(answer.verdict))
        .Write();
    if (outcome == Outcome::kNotRun) {
      this->ReleaseClaim();
    }
    this->Fail(WithOutcome(cause, outcome));
    return;
  }
  this->phase = SessionPhase::kQueued;
  this->parts.scheduler.After(answer.backoff_ms, this->life.Guarded([this] {
    // Through the queue: where no engine is left just now, it waits its
    // turn until its deadline.
    if (this->phase == SessionPhase::kQueued) {
      this->OfferAgain();
    }
  }));
}

void GenerationSession::ResumeSoon(const absl::Status& cause) {
  this->RetireStream();
  if (++this->resumes > this->parts.options.max_resumes) {
    this->AfterGenerationLost(cause);
    return;
  }
  const std::int64_t delay = kResumeDelayMs << (this->resumes - 1);
  LogLine("read-on")
      .Add("request", this->start.request)
      .Add("engine", this->engine.engine)
      .Add("from", this->assembler.NextIndex())
      .Add("tries", this->resumes)
      .Add("in_ms", delay)
      .Add("why", std::string{cause.message()})
      .WriteImportant();
  this->parts.scheduler.After(delay, this->life.Guarded([this] {
    if (this->phase == SessionPhase::kStreaming && this->stream == nullptr) {
      this->ResumeStream();
    }
  }));
}

void GenerationSession::ResumeStream() {
  this->paused_since_ms = 0;
  this->stream =
      this->parts.engines.Resume(this->engine, this->assembler.Generation(),
                                 this->assembler.NextIndex(), *this);
}

// Nothing more will come of the pinned generation. A second one may take its
// place only while nothing of the first was delivered.
void GenerationSession::AfterGenerationLost(const absl::Status& cause) {
  // It may go on where only our way to it is broken; the answer ends here.
  this->CancelGeneration();
  this->EndPolicy(StreamEnd::kCut);
  this->RetireStream();
  if (this->MayRunAgain()) {
    this->earlier = Outcome::kInterrupted;
    this->caller->DropHeld();
    this->caller->SetResumeToken("");
    this->SendAgain(cause, Outcome::kInterrupted);
    return;
  }
  this->Fail(WithOutcome(cause, Outcome::kInterrupted));
}

bool GenerationSession::MayRunAgain() const {
  return !this->resumed && !this->start.terms.at_most_once &&
         this->caller->MayStartOver();
}

///////////
// Ending
///////////

// A streamed answer may be resumed at another host, so the engine goes on
// until its orphan timeout; an answer that nobody can come back for is
// cancelled; one that may not be repeated runs on, so that a retry gets it.
void GenerationSession::OnCallerGone() {
  if (this->phase == SessionPhase::kEnded) {
    return;
  }
  this->caller_gone = true;
  if (this->phase == SessionPhase::kQueued) {
    this->parts.dispatcher.Cancel(this->start.request);
    this->ReleaseClaim();
    this->Finish(Outcome::kNotRun, ErrorId::kConnectionLost);
    return;
  }
  if (this->start.terms.at_most_once) {
    return;
  }
  if (!this->caller->CanResume()) {
    this->CancelGeneration();
  }
  this->EndPolicy(StreamEnd::kCut);
  this->Finish(Outcome::kInterrupted, ErrorId::kConnectionLost);
}

void GenerationSession::Tick() {
  if (this->phase == SessionPhase::kEnded) {
    return;
  }
  const std::int64_t now = this->parts.clock.MonotonicMs();
  const bool too_slow =
      this->paused_since_ms != 0 &&
      now - this->paused_since_ms > this->parts.options.slow_caller_timeout_ms;
  if (too_slow) {
    this->caller->Cut();
    this->OnCallerGone();
    return;
  }
  if (now - this->last_sign_ms >= this->parts.options.keepalive_ms) {
    this->last_sign_ms = now;
    this->caller->KeepAlive();
  }
}

bool GenerationSession::HandOver() {
  if (this->phase != SessionPhase::kStreaming ||
      this->start.terms.at_most_once || !this->caller->CanResume()) {
    return false;
  }
  this->RetireStream();
  this->caller->Cut();
  this->EndPolicy(StreamEnd::kCut);
  this->Finish(Outcome::kNone, ErrorId::kInternal);
  return true;
}

void GenerationSession::Fail(const absl::Status& status) {
  if (this->phase == SessionPhase::kEnded) {
    return;
  }
  this->RetireStream();
  this->EndPolicy(StreamEnd::kCut);
  const absl::Status truth = this->Truthful(status);
  const ErrorDetail detail = DetailOf(truth);
  const bool safe =
      detail.outcome == Outcome::kNotRun || !this->start.terms.at_most_once;
  this->caller->Fail(truth, safe);
  this->Finish(detail.outcome, detail.id);
}

// "Not run" is said of the request, not of its last attempt.
absl::Status GenerationSession::Truthful(const absl::Status& status) const {
  const bool hides = DetailOf(status).outcome == Outcome::kNotRun &&
                     this->earlier != Outcome::kNotRun;
  return hides ? WithOutcome(status, this->earlier) : status;
}

void GenerationSession::EndPolicy(StreamEnd end) {
  if (std::exchange(this->noted_in_fleet, false)) {
    this->parts.fleet.NoteEnded(this->start.request, end,
                                this->parts.clock.WallMs());
  }
}

void GenerationSession::Finish(Outcome outcome, ErrorId error) {
  if (std::exchange(this->phase, SessionPhase::kEnded) ==
      SessionPhase::kEnded) {
    return;
  }
  this->RetireStream();
  const std::int64_t tokens = this->assembler.NextIndex();
  if (!this->resumed) {
    this->parts.limits.Ended(this->start.terms.workspace,
                             this->start.expected_tokens,
                             EstimateTokens(this->start.asked.prompt) + tokens);
  }
  SessionEnd end;
  end.request = this->start.request;
  end.workspace = this->start.terms.workspace;
  end.outcome = outcome;
  end.error = error;
  end.tokens = tokens;
  end.first_token_ms = this->first_token_ms;
  end.total_ms = this->parts.clock.WallMs() - this->start.arrived_ms;
  end.longest_gap_ms = this->longest_gap_ms;
  end.resumed = this->resumed;
  LogLine line("end");
  line.Add("request", end.request)
      .Add("workspace", end.workspace)
      .Add("engine", this->engine.engine)
      .Add("generation", this->assembler.Generation())
      .Add("outcome",
           outcome == Outcome::kNone ? "complete" : OutcomeName(outcome))
      .Add("code", outcome == Outcome::kNone ? 0 : static_cast<int>(error))
      .Add("tokens", tokens)
      .Add("first_token_ms", end.first_token_ms)
      .Add("total_ms", end.total_ms)
      .Add("caller", this->caller_gone ? "gone" : "there")
      .Write();
  this->parts.observer->OnSessionEnded(end);
}

// The stream may be calling us right now: it is closed and destroyed with the
// session, or at the next retirement.
void GenerationSession::RetireStream() {
  if (this->stream == nullptr) {
    return;
  }
  this->stream->Close();
  this->retired.push_back(std::move(this->stream));
}

void GenerationSession::CancelGeneration() {
  if (this->assembler.IsPinned()) {
    this->parts.engines.Cancel(this->engine, this->assembler.Generation());
  }
}

ResumeTokenClaims GenerationSession::MakeResumeClaims() const {
  ResumeTokenClaims claims;
  claims.request = this->start.request;
  claims.workspace = this->start.terms.workspace;
  claims.caller = this->start.caller;
  claims.engine = this->engine;
  claims.generation = this->assembler.Generation();
  claims.model = this->start.asked.model;
  claims.form = this->start.asked.form;
  claims.created_unix_s = this->start.arrived_ms / kMsPerSecond;
  claims.expires_unix_ms =
      this->parts.clock.WallMs() + this->parts.options.resume_expiry_ms;
  return claims;
}

absl::Status GenerationSession::ErrorOf(ErrorId id, Outcome outcome,
                                        std::string_view step,
                                        std::string_view what) const {
  ErrorDetail detail;
  detail.id = id;
  detail.outcome = outcome;
  detail.step = std::string(step);
  detail.peer = this->engine.engine;
  return MakeError(absl::StatusCode::kUnavailable, detail, what);
}

}  // namespace meadowthread
