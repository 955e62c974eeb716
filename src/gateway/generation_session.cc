#include "gateway/generation_session.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/absl_view.h"
#include "base/log_line.h"
#include "gateway/claim_failure_log.h"
#include "gateway/prompt_estimate.h"
#include "gateway/recorded_answer.h"
#include "quarantine/content_key.h"

// The part of GenerationSession that starts a request, claims its idempotency
// key, places it on an engine and sends it. The code for everything after an
// engine's response is in generation_session_stream.cc.

namespace meadowthread {
namespace {

// Limits the length of the log line of a routing decision; further candidates
// add little information.
constexpr std::size_t kMaxLoggedCandidates = 3;
constexpr std::string_view kSchemeSeparator = "://";

}  // namespace

std::string EngineInstanceKey(std::string_view engine,
                              std::string_view incarnation) {
  return absl::StrCat(AbslView(engine), "/", AbslView(incarnation));
}

std::string_view SessionPhaseName(SessionPhase phase) {
  switch (phase) {
    case SessionPhase::kClaiming:
      return "claiming";
    case SessionPhase::kQueued:
      return "queued";
    case SessionPhase::kSending:
      return "sending";
    case SessionPhase::kStreaming:
      return "streaming";
    case SessionPhase::kEnded:
      return "ended";
  }
  return "ended";
}

GenerationSession::GenerationSession(const SessionDependencies& deps,
                                     const SessionStart& start,
                                     std::unique_ptr<CallerStream> caller)
    : deps(deps),
      start(start),
      guarded(deps.quarantine,
              {start.parameters.workspace,
               start.parameters.template_name,
               start.request,
               {}},
              [this] {
                return ContentKeyOf({this->start.parameters.workspace, "",
                                     this->start.caller_request.model,
                                     this->start.caller_request.prompt});
              }),
      caller(std::move(caller)),
      last_sent_ms(deps.clock.MonotonicMs()) {
  this->caller->OnGone([this] { this->OnCallerGone(); });
  this->caller->OnDrained([this] {
    if (this->paused_since_ms != 0 && !this->caller->IsSlow()) {
      this->paused_since_ms = 0;
      if (this->stream != nullptr) {
        this->stream->SetPaused(false);
      }
    }
  });
}

GenerationSession::~GenerationSession() = default;

///////////////
// Starting
///////////////

void GenerationSession::Begin() {
  if (this->start.parameters.at_most_once) {
    this->caller->KeepText(this->deps.options.recorded_text_limit_bytes);
    this->Claim();
    return;
  }
  this->SubmitFirst();
}

void GenerationSession::BeginResumed(const ResumeTokenClaims& claims,
                                     std::int64_t from) {
  this->resumed = true;
  this->phase = SessionPhase::kStreaming;
  // The engine's address may have changed since the resume token was issued;
  // the host list has the newer one.
  this->engine = this->deps.directory.AddressOf(claims.engine.engine)
                     .value_or(claims.engine);
  this->assembler = StreamAssembler(from);
  this->assembler.OnStarted(claims.generation);
  this->caller->SetResumeToken(
      this->deps.tokens.Sign(this->MakeResumeClaims()));
  LogLine line("resume");
  line.Add("request", this->start.request)
      .Add("workspace", this->start.parameters.workspace)
      .Add("engine", this->engine.engine)
      .Add("generation", claims.generation)
      .Add("from", from)
      .Write();
  this->ResumeStream();
}

/////////////
// Claiming
/////////////

void GenerationSession::Claim() {
  ClaimRequest request;
  request.workspace = this->start.parameters.workspace;
  request.key = this->start.idempotency_key;
  request.key_form = this->start.parameters.key_form;
  request.body_digest = this->start.body_digest;
  request.deadline_unix_ms = this->DeadlineUnixMs();
  this->deps.claims.Claim(
      request,
      this->life.Guarded([this](const absl::StatusOr<ClaimAnswer>& answer) {
        this->OnClaimed(answer);
      }));
}

void GenerationSession::OnClaimed(const absl::StatusOr<ClaimAnswer>& answer) {
  if (!answer.ok()) {
    this->Fail(answer.status());
    return;
  }
  if (const auto* recorded = std::get_if<ClaimResult>(&*answer)) {
    this->ReplayRecordedAnswer(*recorded);
    return;
  }
  this->grant = std::get<ClaimGrant>(*answer);
  if (this->caller_gone) {
    this->ReleaseClaim();
    this->Finish(Outcome::kNotRun, ErrorId::kConnectionLost);
    return;
  }
  this->SubmitFirst();
}

void GenerationSession::ReplayRecordedAnswer(const ClaimResult& result) {
  const absl::StatusOr<RecordedAnswer> recorded = DecodeRecordedAnswer(result);
  if (!recorded.ok()) {
    this->Fail(recorded.status());
    return;
  }
  LogLine line("replay");
  line.Add("request", this->start.request)
      .Add("workspace", this->start.parameters.workspace)
      .Add("original", recorded->request)
      .Write();
  if (!recorded->text.empty()) {
    const TokenEvent all = {"", recorded->usage.completion_tokens - 1,
                            recorded->text};
    this->caller->Deliver({&all, 1});
  }
  this->caller->Complete(recorded->finish_reason, recorded->usage);
  this->Finish(Outcome::kNone, ErrorId::kInternal);
}

// Call this only if nothing was sent or the engine definitely rejected the
// request, and nothing more will be sent under this claim.
void GenerationSession::ReleaseClaim() {
  if (this->grant.has_value()) {
    const ClaimGrant released = *std::exchange(this->grant, std::nullopt);
    this->deps.claims.Release(released,
                              LogClaimFailure("release", this->start.request));
  }
}

void GenerationSession::RecordResult(const TokenUsage& usage) {
  if (!this->grant.has_value()) {
    return;
  }
  RecordedAnswer recorded;
  recorded.request = this->start.request;
  recorded.finish_reason = this->assembler.FinishReason();
  recorded.usage = usage;
  recorded.text = this->caller->Text();
  recorded.text_is_whole = this->caller->TextIsWhole();
  const std::string request = this->start.request;
  this->deps.claims.RecordResult(
      *std::exchange(this->grant, std::nullopt), EncodeRecordedAnswer(recorded),
      [request](const absl::Status& status) {
        LogLine line("result-recorded");
        line.Add("request", request)
            .Add("status", status.ok() ? "ok" : status.message().data())
            .Write();
      });
}

////////////////////////
// Placing and sending
////////////////////////

// Returns 0 if the request has no deadline.
std::int64_t GenerationSession::DeadlineUnixMs() const {
  return this->start.parameters.deadline_ms > 0
             ? this->start.arrived_ms + this->start.parameters.deadline_ms
             : 0;
}

WorkItem GenerationSession::MakeWorkItem() const {
  WorkItem work;
  work.request = this->start.request;
  work.workspace = this->start.parameters.workspace;
  work.template_name = this->start.parameters.template_name;
  work.model = this->start.parameters.model.model;
  work.adapter = this->start.parameters.model.adapter;
  work.version = this->start.parameters.model.version;
  work.prompt_tokens = EstimateTokens(this->start.caller_request.prompt);
  work.max_output_tokens = this->start.parameters.max_output_tokens;
  work.arrived_ms = this->start.arrived_ms;
  work.deadline_ms = this->DeadlineUnixMs();
  work.urgency = this->start.parameters.urgency;
  work.prefix_hash = PrefixHash(this->start.caller_request.prompt);
  return work;
}

void GenerationSession::SubmitFirst() {
  this->deps.retries.NoteFirstAttempt();
  this->SubmitToDispatcher();
}

void GenerationSession::SubmitToDispatcher() {
  if (this->FailIfQuarantined()) {
    return;
  }
  this->phase = SessionPhase::kQueued;
  const DispatchResult answer = this->deps.dispatcher.Offer(
      this->MakeWorkItem(), this->deps.clock.WallMs(), this->deps.random());
  switch (answer.verdict) {
    case AdmissionVerdict::kAdmitted:
      this->SendNow(answer.decision);
      return;
    case AdmissionVerdict::kQueued: {
      LogLine line("queue");
      line.Add("request", this->start.request)
          .Add("workspace", this->start.parameters.workspace)
          .Add("urgency", UrgencyName(this->start.parameters.urgency))
          .Add("why", DecisionReasonName(answer.decision.reason))
          .Write();
      return;
    }
    case AdmissionVerdict::kRefused:
      this->GiveUp(answer.refusal, answer.retry_after_ms);
      return;
  }
}

// Checked before every attempt, since engines may have crashed during the
// previous ones.
bool GenerationSession::FailIfQuarantined() {
  const auto remaining_ms = this->guarded.QuarantinedForMs();
  if (!remaining_ms.has_value()) {
    return false;
  }
  const bool may_have_run = this->earlier_outcome != Outcome::kNotRun;
  if (!may_have_run) {
    this->ReleaseClaim();
  }
  this->Fail(QuarantinedError(*remaining_ms, may_have_run));
  return true;
}

void GenerationSession::EndIfQuarantined(const CrashRecord& quarantined) {
  const bool awaits_engine = this->phase == SessionPhase::kQueued ||
                             this->phase == SessionPhase::kSending;
  if (!awaits_engine || this->resumed ||
      !this->guarded.IsQuarantinedBy(quarantined)) {
    return;
  }
  if (this->phase == SessionPhase::kQueued) {
    this->deps.dispatcher.Cancel(this->start.request);
  } else {
    this->earlier_outcome = Outcome::kUnknown;
  }
  this->FailIfQuarantined();
}

std::optional<ServerInstance> GenerationSession::EngineIfNotLeaving() const {
  const EngineView* const view = this->deps.fleet.Find(this->engine.engine);
  // The prompt of a resumed answer is not known here, so a crash can't be
  // attributed to its content.
  if (this->resumed || view == nullptr || view->leaving) {
    return std::nullopt;
  }
  const std::string& url = this->engine.base_url;
  const std::size_t scheme = url.find(kSchemeSeparator);
  return ServerInstance{
      EngineInstanceKey(this->engine.engine, this->engine_incarnation),
      scheme == std::string::npos
          ? url
          : url.substr(scheme + kSchemeSeparator.size())};
}

void GenerationSession::GiveUp(RefusalReason reason,
                               std::int64_t retry_after_ms) {
  const bool late = reason == RefusalReason::kDeadlinePassed ||
                    reason == RefusalReason::kDeadlineTooNear;
  ErrorDetail detail;
  detail.id = late ? ErrorId::kDeadlinePassed : ErrorId::kOverloaded;
  detail.outcome = Outcome::kNotRun;
  detail.step = "admit";
  detail.retry_after_ms = retry_after_ms;
  this->ReleaseClaim();
  this->Fail(MakeError(
      absl::StatusCode::kResourceExhausted, detail,
      absl::StrCat("not admitted: ", std::string(RefusalReasonName(reason)))));
}

void GenerationSession::SendNow(const Decision& decision) {
  this->tracked_in_fleet = true;
  this->Send(decision);
}

void GenerationSession::LogRoute(const Decision& decision) const {
  LogLine line("route");
  line.Add("request", this->start.request)
      .Add("workspace", this->start.parameters.workspace)
      .Add("template", this->start.parameters.template_name)
      .Add("template_version", this->start.parameters.template_version)
      .Add("attempt", this->attempts)
      .Add("engine", decision.engine.value_or(""))
      .Add("why", DecisionReasonName(decision.reason));
  std::string candidates;
  const std::size_t shown =
      std::min(kMaxLoggedCandidates, decision.considered.size());
  for (std::size_t i = 0; i < shown; ++i) {
    const Candidate& candidate = decision.considered[i];
    absl::StrAppend(&candidates, i == 0 ? "" : ",", candidate.engine, ":",
                    candidate.in_flight, ":", candidate.cost);
  }
  line.Add("candidates", candidates).Write();
}

void GenerationSession::Send(const Decision& decision) {
  ++this->attempts;
  this->LogRoute(decision);
  const std::optional<EngineAddress> address =
      this->deps.directory.AddressOf(*decision.engine);
  if (!address.has_value()) {
    this->OnAttemptFailed(
        AttemptFailure::kUnreachable,
        this->EngineError(ErrorId::kNoEngine, Outcome::kNotRun, "send",
                          "the engine has no address"),
        Outcome::kNotRun);
    return;
  }
  this->engine = *address;
  // Checked again in case this process was suspended after it got the claim:
  // once the claim's deadline has passed, a retry by the caller may have got
  // another outcome.
  if (this->grant.has_value() &&
      !this->grant->MaySend(this->deps.clock.WallMs())) {
    this->GiveUp(RefusalReason::kDeadlinePassed, 0);
    return;
  }
  const EngineView* const view = this->deps.fleet.Find(this->engine.engine);
  this->engine_incarnation = view == nullptr ? "" : view->incarnation;
  this->phase = SessionPhase::kSending;
  this->assembler = StreamAssembler();
  GenerationRequest request;
  request.attempt = absl::StrCat(this->start.request, ".", this->attempts);
  request.workspace = this->start.parameters.workspace;
  request.model = this->start.parameters.model;
  request.prompt = this->start.caller_request.prompt;
  request.max_tokens = this->start.parameters.max_output_tokens;
  request.priority = decision.priority;
  request.deadline_unix_ms = this->DeadlineUnixMs();
  request.orphan_timeout_ms = this->deps.options.orphan_timeout_ms;
  this->RetireStream();
  this->stream = this->deps.engines.Start(this->engine, request, *this);
}

}  // namespace meadowthread
