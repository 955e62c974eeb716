#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/log_line.h"
#include "gateway/generation_session.h"
#include "gateway/prompt_estimate.h"

// The part of GenerationSession that handles an engine's response: it delivers
// tokens, handles failures and retries, and ends the session.

namespace meadowthread {
namespace {

constexpr std::int64_t kResumeDelayMs = 50;
constexpr std::int64_t kMsPerSecond = 1000;

AttemptFailure ClassifyFailure(const StreamClose& close) {
  if (close.rejected) {
    return close.reason == "full" ? AttemptFailure::kEngineFull
                                  : AttemptFailure::kEngineLeaving;
  }
  if (!close.may_have_left) {
    return AttemptFailure::kUnreachable;
  }
  return DetailOf(close.status).id == ErrorId::kPeerTimeout
             ? AttemptFailure::kNoProgress
             : AttemptFailure::kLost;
}

}  // namespace

/////////////////////////////
// Events of the engine's stream
/////////////////////////////

void GenerationSession::OnGenerationStarted(const std::string& generation) {
  this->Apply(this->assembler.OnStarted(generation));
  if (this->phase != SessionPhase::kSending) {
    return;
  }
  this->phase = SessionPhase::kStreaming;
  this->caller->SetResumeToken(
      this->deps.tokens.Sign(this->MakeResumeClaims()));
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
  this->AfterGenerationLost(this->EngineError(
      ErrorId::kGenerationLost, Outcome::kInterrupted, "stream", reason));
}

// The caller resumed at another host, which now reads the generation. Reading
// it from here again would interrupt that host's stream.
void GenerationSession::OnReplaced(const std::string& generation) {
  if (generation != this->assembler.Generation()) {
    return;
  }
  this->RetireStream();
  this->caller->Disconnect();
  this->ReportEndToFleet(StreamEnd::kCut);
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
    cause = this->EngineError(
        close.rejected ? ErrorId::kRejectedByPeer : ErrorId::kConnectionLost,
        verdict.outcome, "stream",
        close.rejected ? close.reason
                       : "the stream closed before the generation finished");
  }
  if (close.may_have_left && !close.rejected) {
    this->guarded.NoteInterrupted(this->EngineIfNotLeaving(),
                                  this->assembler.NextIndex() == 0);
  }
  const AttemptFailure failure = ClassifyFailure(close);
  if (IsEngineFault(failure)) {
    this->deps.fleet.EngineStalled(this->engine.engine,
                                   this->deps.clock.WallMs());
  }
  if (this->phase == SessionPhase::kStreaming) {
    if (verdict.may_resume) {
      this->ResumeSoon(cause);
    } else {
      this->AfterGenerationLost(cause);
    }
    return;
  }
  this->OnAttemptFailed(failure, cause, verdict.outcome);
}

///////////////
// Delivering
///////////////

void GenerationSession::Apply(AssemblerAction action) {
  switch (action) {
    case AssemblerAction::kContinue:
      return;
    case AssemblerAction::kDeliver:
      this->DeliverReady();
      return;
    case AssemblerAction::kResume:
      this->DeliverReady();
      this->ResumeSoon(this->EngineError(ErrorId::kPeerMalformed,
                                         Outcome::kInterrupted, "stream",
                                         "tokens are missing"));
      return;
    case AssemblerAction::kOtherGeneration:
      this->AfterGenerationLost(
          this->EngineError(ErrorId::kGenerationLost, Outcome::kInterrupted,
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
  this->resumes_since_token = 0;
  this->RecordTokenTimes(tokens.size());
  if (!this->caller->Deliver(tokens)) {
    this->CancelGeneration();
    this->ReportEndToFleet(StreamEnd::kCut);
    this->Fail(this->EngineError(
        ErrorId::kBodyTooLarge, Outcome::kInterrupted, "deliver",
        "the answer exceeds the size limit for buffered answers"));
    return;
  }
  if (this->tracked_in_fleet) {
    this->deps.fleet.NoteTokens(this->start.request,
                                this->assembler.NextIndex(),
                                this->deps.clock.WallMs());
  }
  if (this->caller->IsSlow() && this->paused_since_ms == 0 &&
      this->stream != nullptr) {
    this->paused_since_ms = this->deps.clock.MonotonicMs();
    this->stream->SetPaused(true);
  }
}

void GenerationSession::RecordTokenTimes(std::size_t count) {
  const std::int64_t now = this->deps.clock.MonotonicMs();
  if (this->first_token_ms < 0) {
    this->first_token_ms = this->deps.clock.WallMs() - this->start.arrived_ms;
  } else {
    const std::int64_t gap = now - this->last_token_ms;
    this->longest_gap_ms = std::max(this->longest_gap_ms, gap);
    this->deps.observer->OnTokenGap(gap / static_cast<std::int64_t>(count));
  }
  this->last_token_ms = now;
  this->last_sent_ms = now;
}

void GenerationSession::Complete() {
  TokenUsage usage;
  usage.prompt_tokens = EstimateTokens(this->start.caller_request.prompt);
  usage.completion_tokens = this->assembler.NextIndex();
  if (!this->resumed) {
    this->guarded.NoteCompleted();
  }
  this->RetireStream();
  this->RecordResult(usage);
  this->caller->Complete(this->assembler.FinishReason(), usage);
  this->ReportEndToFleet(StreamEnd::kComplete);
  this->Finish(Outcome::kNone, ErrorId::kInternal);
}

/////////////////////////////
// Failures and retries
/////////////////////////////

// Handles an attempt that failed before the engine named a generation.
void GenerationSession::OnAttemptFailed(AttemptFailure failure,
                                        const absl::Status& cause,
                                        Outcome outcome) {
  this->ReportEndToFleet(StreamEnd::kCut);
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
    this->earlier_outcome = Outcome::kUnknown;
  }
  if (outcome == Outcome::kUnknown && this->start.parameters.at_most_once) {
    this->Fail(WithOutcome(cause, Outcome::kUnknown));
    return;
  }
  this->RetryOrFail(cause, outcome);
}

// Call this only if the last attempt certainly did not run or may be repeated.
void GenerationSession::RetryOrFail(const absl::Status& cause,
                                    Outcome outcome) {
  const std::int64_t now = this->deps.clock.WallMs();
  const RetryDecision answer = this->deps.retries.Ask(
      {this->attempts, this->DeadlineUnixMs()}, now, this->deps.random());
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
  this->deps.scheduler.After(answer.backoff_ms, this->life.Guarded([this] {
    // The request goes through the queue again: if no engine is available now,
    // it waits there until its deadline.
    if (this->phase == SessionPhase::kQueued) {
      this->SubmitToDispatcher();
    }
  }));
}

void GenerationSession::ResumeSoon(const absl::Status& cause) {
  this->RetireStream();
  if (++this->resumes_since_token > this->deps.options.max_resumes) {
    this->AfterGenerationLost(cause);
    return;
  }
  const std::int64_t delay = kResumeDelayMs << (this->resumes_since_token - 1);
  LogLine("read-on")
      .Add("request", this->start.request)
      .Add("engine", this->engine.engine)
      .Add("from", this->assembler.NextIndex())
      .Add("tries", this->resumes_since_token)
      .Add("in_ms", delay)
      .Add("why", std::string{cause.message()})
      .WriteImportant();
  this->deps.scheduler.After(delay, this->life.Guarded([this] {
    if (this->phase == SessionPhase::kStreaming && this->stream == nullptr) {
      this->ResumeStream();
    }
  }));
}

void GenerationSession::ResumeStream() {
  this->paused_since_ms = 0;
  this->stream =
      this->deps.engines.Resume(this->engine, this->assembler.Generation(),
                                this->assembler.NextIndex(), *this);
}

// No more tokens will come from the current generation. A new one may replace
// it only if none of its tokens were delivered.
void GenerationSession::AfterGenerationLost(const absl::Status& cause) {
  // The generation may still be running if only the connection to its engine
  // failed, so cancel it.
  this->CancelGeneration();
  this->ReportEndToFleet(StreamEnd::kCut);
  this->RetireStream();
  if (this->MayStartNewGeneration()) {
    this->earlier_outcome = Outcome::kInterrupted;
    this->caller->DiscardHeldTokens();
    this->caller->SetResumeToken("");
    this->RetryOrFail(cause, Outcome::kInterrupted);
    return;
  }
  this->Fail(WithOutcome(cause, Outcome::kInterrupted));
}

bool GenerationSession::MayStartNewGeneration() const {
  return !this->resumed && !this->start.parameters.at_most_once &&
         this->caller->MayStartOver();
}

///////////
// Ending
///////////

// A streamed answer can be resumed at another host, so its generation keeps
// running until the engine's orphan timeout. A generation that can't be resumed
// is cancelled. A generation that must run at most once keeps running, so that
// a retry gets its recorded answer.
void GenerationSession::OnCallerGone() {
  if (this->phase == SessionPhase::kEnded) {
    return;
  }
  this->caller_gone = true;
  if (this->phase == SessionPhase::kQueued) {
    this->deps.dispatcher.Cancel(this->start.request);
    this->ReleaseClaim();
    this->Finish(Outcome::kNotRun, ErrorId::kConnectionLost);
    return;
  }
  if (this->start.parameters.at_most_once) {
    return;
  }
  if (!this->caller->CanResume()) {
    this->CancelGeneration();
  }
  this->ReportEndToFleet(StreamEnd::kCut);
  this->Finish(Outcome::kInterrupted, ErrorId::kConnectionLost);
}

void GenerationSession::Tick() {
  if (this->phase == SessionPhase::kEnded) {
    return;
  }
  const std::int64_t now = this->deps.clock.MonotonicMs();
  const bool too_slow =
      this->paused_since_ms != 0 &&
      now - this->paused_since_ms > this->deps.options.slow_caller_timeout_ms;
  if (too_slow) {
    this->caller->Disconnect();
    this->OnCallerGone();
    return;
  }
  if (now - this->last_sent_ms >= this->deps.options.keepalive_ms) {
    this->last_sent_ms = now;
    this->caller->KeepAlive();
  }
}

bool GenerationSession::DisconnectForResume() {
  if (this->phase != SessionPhase::kStreaming ||
      this->start.parameters.at_most_once || !this->caller->CanResume()) {
    return false;
  }
  this->RetireStream();
  this->caller->Disconnect();
  this->ReportEndToFleet(StreamEnd::kCut);
  this->Finish(Outcome::kNone, ErrorId::kInternal);
  return true;
}

void GenerationSession::Fail(const absl::Status& status) {
  if (this->phase == SessionPhase::kEnded) {
    return;
  }
  this->RetireStream();
  this->ReportEndToFleet(StreamEnd::kCut);
  const absl::Status truth = this->WithEarlierOutcome(status);
  const ErrorDetail detail = DetailOf(truth);
  const bool safe = detail.outcome == Outcome::kNotRun ||
                    !this->start.parameters.at_most_once;
  this->caller->Fail(truth, safe);
  this->Finish(detail.outcome, detail.id);
}

// The outcome "not run" must hold for the whole request: an earlier attempt may
// have run even if the last one did not.
absl::Status GenerationSession::WithEarlierOutcome(
    const absl::Status& status) const {
  const bool hides = DetailOf(status).outcome == Outcome::kNotRun &&
                     this->earlier_outcome != Outcome::kNotRun;
  return hides ? WithOutcome(status, this->earlier_outcome) : status;
}

void GenerationSession::ReportEndToFleet(StreamEnd end) {
  if (std::exchange(this->tracked_in_fleet, false)) {
    this->deps.fleet.NoteEnded(this->start.request, end,
                               this->deps.clock.WallMs());
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
    this->deps.limits.Ended(
        this->start.parameters.workspace, this->start.expected_tokens,
        EstimateTokens(this->start.caller_request.prompt) + tokens);
  }
  SessionEnd end;
  end.request = this->start.request;
  end.workspace = this->start.parameters.workspace;
  end.outcome = outcome;
  end.error = error;
  end.tokens = tokens;
  end.first_token_ms = this->first_token_ms;
  end.total_ms = this->deps.clock.WallMs() - this->start.arrived_ms;
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
  this->deps.observer->OnSessionEnded(end);
}

// This may be called from within a callback of the stream, so the stream is
// only closed here and is destroyed together with the session.
void GenerationSession::RetireStream() {
  if (this->stream == nullptr) {
    return;
  }
  this->stream->Close();
  this->retired.push_back(std::move(this->stream));
}

void GenerationSession::CancelGeneration() {
  if (this->assembler.IsPinned()) {
    this->deps.engines.Cancel(this->engine, this->assembler.Generation());
  }
}

ResumeTokenClaims GenerationSession::MakeResumeClaims() const {
  ResumeTokenClaims claims;
  claims.request = this->start.request;
  claims.workspace = this->start.parameters.workspace;
  claims.caller = this->start.caller;
  claims.engine = this->engine;
  claims.generation = this->assembler.Generation();
  claims.model = this->start.caller_request.model;
  claims.form = this->start.caller_request.api;
  claims.created_unix_s = this->start.arrived_ms / kMsPerSecond;
  claims.expires_unix_ms =
      this->deps.clock.WallMs() + this->deps.options.resume_expiry_ms;
  return claims;
}

absl::Status GenerationSession::EngineError(ErrorId id, Outcome outcome,
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
