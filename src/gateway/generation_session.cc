#include "gateway/generation_session.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/absl_view.h"
#include "base/log_line.h"
#include "gateway/claim_log.h"
#include "gateway/recorded_answer.h"
#include "gateway/work_estimate.h"
#include "quarantine/content_key.h"

// Beginning, claiming, placing and sending; what follows once an engine
// answers stands in generation_session_stream.cc.

namespace meadowthread {
namespace {

// In the log line of a decision; the rest of the candidates adds little.
constexpr std::size_t kLoggedCandidates = 3;
constexpr std::string_view kSchemeEnd = "://";

}  // namespace

std::string EngineStartKey(std::string_view engine,
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

GenerationSession::GenerationSession(const SessionParts& parts,
                                     const SessionStart& start,
                                     std::unique_ptr<CallerStream> caller)
    : parts(parts),
      start(start),
      guarded(parts.quarantine,
              {start.terms.workspace, start.terms.template_name, start.request},
              [this] {
                return ContentKeyOf({this->start.terms.workspace, "",
                                     this->start.asked.model,
                                     this->start.asked.prompt});
              }),
      caller(std::move(caller)),
      last_sign_ms(parts.clock.MonotonicMs()) {
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
// Beginnings
///////////////

void GenerationSession::Begin() {
  if (this->start.terms.at_most_once) {
    this->caller->KeepText(this->parts.options.kept_result_bytes);
    this->Claim();
    return;
  }
  this->Offer();
}

void GenerationSession::BeginResumed(const ResumeTokenClaims& claims,
                                     std::int64_t from) {
  this->resumed = true;
  this->phase = SessionPhase::kStreaming;
  // Addresses change hands when a host is replaced; the host list's is newer.
  this->engine = this->parts.directory.AddressOf(claims.engine.engine)
                     .value_or(claims.engine);
  this->assembler = StreamAssembler(from);
  this->assembler.OnStarted(claims.generation);
  this->caller->SetResumeToken(
      this->parts.tokens.Sign(this->MakeResumeClaims()));
  LogLine line("resume");
  line.Add("request", this->start.request)
      .Add("workspace", this->start.terms.workspace)
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
  request.workspace = this->start.terms.workspace;
  request.key = this->start.idempotency_key;
  request.key_form = this->start.terms.key_form;
  request.body_digest = this->start.body_digest;
  request.deadline_unix_ms = this->DeadlineUnixMs();
  this->parts.claims.Claim(
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
    this->Replay(*recorded);
    return;
  }
  this->grant = std::get<ClaimGrant>(*answer);
  if (this->caller_gone) {
    this->ReleaseClaim();
    this->Finish(Outcome::kNotRun, ErrorId::kConnectionLost);
    return;
  }
  this->Offer();
}

void GenerationSession::Replay(const ClaimResult& result) {
  const absl::StatusOr<RecordedAnswer> recorded = ReadRecordedAnswer(result);
  if (!recorded.ok()) {
    this->Fail(recorded.status());
    return;
  }
  LogLine line("replay");
  line.Add("request", this->start.request)
      .Add("workspace", this->start.terms.workspace)
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

// Only called where nothing was sent or the engine definitely rejected it, and
// nothing will be sent under this claim any more.
void GenerationSession::ReleaseClaim() {
  if (this->grant.has_value()) {
    const ClaimGrant released = *std::exchange(this->grant, std::nullopt);
    this->parts.claims.Release(released,
                               LogClaimFailure("release", this->start.request));
  }
}

void GenerationSession::RecordResult(const AnswerUsage& usage) {
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
  this->parts.claims.RecordResult(
      *std::exchange(this->grant, std::nullopt), WriteRecordedAnswer(recorded),
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

// 0: none.
std::int64_t GenerationSession::DeadlineUnixMs() const {
  return this->start.terms.deadline_ms > 0
             ? this->start.arrived_ms + this->start.terms.deadline_ms
             : 0;
}

WorkItem GenerationSession::MakeWork() const {
  WorkItem work;
  work.request = this->start.request;
  work.workspace = this->start.terms.workspace;
  work.template_name = this->start.terms.template_name;
  work.model = this->start.terms.model.model;
  work.adapter = this->start.terms.model.adapter;
  work.version = this->start.terms.model.version;
  work.prompt_tokens = EstimateTokens(this->start.asked.prompt);
  work.max_output_tokens = this->start.terms.max_output_tokens;
  work.arrived_ms = this->start.arrived_ms;
  work.deadline_ms = this->DeadlineUnixMs();
  work.urgency = this->start.terms.urgency;
  work.prefix_hash = PrefixHash(this->start.asked.prompt);
  return work;
}

void GenerationSession::Offer() {
  this->parts.retries.NoteFirstAttempt();
  this->OfferAgain();
}

void GenerationSession::OfferAgain() {
  if (this->EndsInQuarantine()) {
    return;
  }
  this->phase = SessionPhase::kQueued;
  const DispatchResult answer = this->parts.dispatcher.Offer(
      this->MakeWork(), this->parts.clock.WallMs(), this->parts.random());
  switch (answer.verdict) {
    case AdmissionVerdict::kAdmitted:
      this->SendNow(answer.decision);
      return;
    case AdmissionVerdict::kQueued: {
      LogLine line("queue");
      line.Add("request", this->start.request)
          .Add("workspace", this->start.terms.workspace)
          .Add("urgency", UrgencyName(this->start.terms.urgency))
          .Add("why", DecisionReasonName(answer.decision.reason))
          .Write();
      return;
    }
    case AdmissionVerdict::kRefused:
      this->GiveUp(answer.refusal, answer.retry_after_ms);
      return;
  }
}

// Between two attempts too: engines may have ended under the first ones.
bool GenerationSession::EndsInQuarantine() {
  const auto lasts_ms = this->guarded.QuarantinedForMs();
  if (!lasts_ms.has_value()) {
    return false;
  }
  const bool may_have_run = this->earlier != Outcome::kNotRun;
  if (!may_have_run) {
    this->ReleaseClaim();
  }
  this->Fail(QuarantinedError(*lasts_ms, may_have_run));
  return true;
}

void GenerationSession::EndIfQuarantined(const CrashRecordId& quarantined) {
  const bool is_waiting = this->phase == SessionPhase::kQueued ||
                          this->phase == SessionPhase::kSending;
  if (!is_waiting || this->resumed || !this->guarded.HasContent(quarantined)) {
    return;
  }
  if (this->phase == SessionPhase::kQueued) {
    this->parts.dispatcher.Cancel(this->start.request);
  } else {
    this->earlier = Outcome::kUnknown;
  }
  this->EndsInQuarantine();
}

std::optional<ServerInstance> GenerationSession::UnannouncedEngine() const {
  const EngineView* const view = this->parts.fleet.Find(this->engine.engine);
  // Of an answer that is read on for another host the prompt is not known here.
  if (this->resumed || view == nullptr || view->leaving) {
    return std::nullopt;
  }
  const std::string& url = this->engine.base_url;
  const std::size_t scheme = url.find(kSchemeEnd);
  return ServerInstance{EngineStartKey(this->engine.engine, this->engine_start),
                        scheme == std::string::npos
                            ? url
                            : url.substr(scheme + kSchemeEnd.size())};
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
  this->noted_in_fleet = true;
  this->Send(decision);
}

void GenerationSession::LogRoute(const Decision& decision) const {
  LogLine line("route");
  line.Add("request", this->start.request)
      .Add("workspace", this->start.terms.workspace)
      .Add("template", this->start.terms.template_name)
      .Add("template_version", this->start.terms.template_version)
      .Add("attempt", this->attempts)
      .Add("engine", decision.engine.value_or(""))
      .Add("why", DecisionReasonName(decision.reason));
  std::string candidates;
  const std::size_t shown =
      std::min(kLoggedCandidates, decision.considered.size());
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
      this->parts.directory.AddressOf(*decision.engine);
  if (!address.has_value()) {
    this->RetryElsewhere(AttemptFailure::kUnreachable,
                         this->ErrorOf(ErrorId::kNoEngine, Outcome::kNotRun,
                                       "send", "the engine has no address"),
                         Outcome::kNotRun);
    return;
  }
  this->engine = *address;
  // A claimer that was paused since its claim looks once more: past its
  // deadline the caller has been told something else.
  if (this->grant.has_value() &&
      !this->grant->MaySend(this->parts.clock.WallMs())) {
    this->GiveUp(RefusalReason::kDeadlinePassed, 0);
    return;
  }
  const EngineView* const view = this->parts.fleet.Find(this->engine.engine);
  this->engine_start = view == nullptr ? "" : view->incarnation;
  this->phase = SessionPhase::kSending;
  this->assembler = StreamAssembler();
  GenerationRequest request;
  request.attempt = absl::StrCat(this->start.request, ".", this->attempts);
  request.workspace = this->start.terms.workspace;
  request.model = this->start.terms.model;
  request.prompt = this->start.asked.prompt;
  request.max_tokens = this->start.terms.max_output_tokens;
  request.priority = decision.priority;
  request.deadline_unix_ms = this->DeadlineUnixMs();
  request.orphan_timeout_ms = this->parts.options.orphan_timeout_ms;
  this->RetireStream();
  this->stream = this->parts.engines.Start(this->engine, request, *this);
}

}  // namespace meadowthread
