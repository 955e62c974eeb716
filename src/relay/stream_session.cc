#include "relay/stream_session.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/log_line.h"
#include "net/http_code.h"
#include "net/http_headers.h"
#include "relay/attempt_outcome.h"

namespace meadowthread {
namespace {

// Time limit if neither the caller nor the route sets one: the longest streams
// take most of a minute.
constexpr std::int64_t kDefaultTimeoutMs = 60'000;
constexpr std::size_t kMaxEventBytes = std::size_t{1024} * 1024;
// Limit on unsent data for a caller that reads more slowly than tokens are
// generated. Beyond it, reading from the engine is paused and the rest waits
// there.
constexpr std::int64_t kSlowCallerBytes = std::int64_t{256} * 1024;
constexpr std::int64_t kOverloadedRetryMs = 300;
// A pause of several decode steps on a full engine: the run was preempted,
// waited for a KV cache copy, or was delayed by the prefill of other prompts.
constexpr std::int64_t kStallMs = 250;
// A pause that points to packet loss on the link: retransmitting a packet takes
// 200 ms, while decode steps that share the engine with prefill take 20 ms.
constexpr std::int64_t kLinkStallMs = 150;
// Fewer events of an attempt don't tell the mean time between them.
constexpr std::int64_t kMinEventsForGap = 4;
// A run that has written its answer for this long has not crashed its engine:
// prompts that do so crash it within some 100 ms of its first token.
constexpr std::int64_t kGoodRunMs = 1'000;
constexpr std::string_view kEventStreamType = "text/event-stream";

}  // namespace

StreamSession::StreamSession(
    const RelayDependencies& deps, const StreamDependencies& stream_deps,
    EngineControl& control, const CallerProtocol& callers, RelayRequest request,
    RelayTerms terms, std::int64_t tokens_per_event,
    std::unique_ptr<ResponseWriter> writer, std::function<void()> ended)
    : deps(deps),
      stream_deps(stream_deps),
      control(control),
      callers(callers),
      request(std::move(request)),
      terms(std::move(terms)),
      guarded(deps.quarantine,
              {this->terms.workspace, this->terms.route, this->request.id,
               this->request.shared_parts},
              [this] { return ContentKeyOf(this->request, this->terms); }),
      tokens_per_event(tokens_per_event),
      writer(std::move(writer)),
      ended(std::move(ended)),
      whole_body(deps.answer_memory, [this] { this->EndForLackOfMemory(); }),
      splitter(kMaxEventBytes),
      limit(MaxOutputTokens(this->request)),
      begun_ms(deps.clock.MonotonicMs()) {
  this->deadline_ms = DeadlineMs(this->request, this->terms, kDefaultTimeoutMs);
}

StreamSession::~StreamSession() { this->CancelCall(); }

std::int64_t StreamSession::RemainingMs() const {
  return this->deadline_ms - this->deps.clock.MonotonicMs();
}

std::int64_t StreamSession::KvCacheTokens() const {
  const std::int64_t prompt = this->request.generation.has_value()
                                  ? this->request.generation->prompt_tokens
                                  : 0;
  return prompt + this->events * this->tokens_per_event;
}

////////////////////////
// Forwarding the answer
////////////////////////

void StreamSession::OnHead(int http_status,
                           std::span<const HttpHeader> headers) {
  this->meaning = this->deps.wire.Read(http_status, headers);
  NoteAnswerHead(this->deps, {this->engine, this->sent_ms, http_status,
                              this->meaning, headers});
  const std::string_view type = FindHeader(headers, "Content-Type");
  this->is_event_stream = http_status == http_code::kOk &&
                          this->meaning == AnswerMeaning::kRan &&
                          type.starts_with(kEventStreamType);
  if (this->resumed_from.has_value()) {
    this->head.http_status =
        this->is_event_stream ? http_code::kOk : http_status;
    return;
  }
  this->head.http_status = http_status;
  this->head.headers = EndToEndHeaders(headers);
}

void StreamSession::OnData(std::string_view data) {
  if (!this->is_event_stream) {
    this->HoldWholeAnswer(data);
    return;
  }
  std::vector<RawSseEvent> new_events;
  if (!this->splitter.Feed(data, &new_events)) {
    this->EndAtLimit("an event is longer than its limit");
    return;
  }
  if (!this->IsWithinLimit(new_events)) {
    this->EndAtLimit("the engine sent more events than were asked for");
    return;
  }
  if (!new_events.empty()) {
    this->ForwardEvents(new_events);
  }
}

void StreamSession::ForwardEvents(std::span<const RawSseEvent> new_events) {
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  const bool was_moved = this->phase == StreamPhase::kResuming;
  if (was_moved) {
    ++this->moves;
    LogLine("resumed")
        .Add("request", this->request.id)
        .Add("engine", this->engine)
        .Add("after_event", this->sequence.LastId())
        .Add("pause_ms", now_ms - this->last_event_ms)
        .Write();
    this->resumed_from.reset();
  }
  if (this->first_event_ms < 0) {
    this->first_event_ms = now_ms - this->begun_ms;
  } else {
    this->NoteGap(now_ms - this->last_event_ms, was_moved);
  }
  if (this->attempt_first_event_ms < 0) {
    this->NoteFirstEvent(now_ms);
  }
  this->last_event_ms = now_ms;
  this->phase = StreamPhase::kStreaming;
  if (now_ms - this->attempt_first_event_ms >= kGoodRunMs) {
    this->NoteGoodRun();
  }
  std::string bytes;
  if (!this->AppendNewEvents(new_events, &bytes)) {
    this->CancelCall();
    this->Interrupt("the next engine left events out");
    return;
  }
  if (this->in_fleet_state) {
    this->stream_deps.fleet.NoteTokens(this->request.id,
                                       this->events * this->tokens_per_event,
                                       this->deps.clock.WallMs());
  }
  this->SendHeadOnce();
  this->writer->Write(bytes);
  if (this->writer->PendingBytes() > kSlowCallerBytes && this->call != 0) {
    this->paused = true;
    this->deps.client.SetPaused(this->call, true);
  }
}

// Repeated events are dropped. A missing event can't be recovered.
bool StreamSession::AppendNewEvents(std::span<const RawSseEvent> new_events,
                                    std::string* bytes) {
  for (const RawSseEvent& event : new_events) {
    const EventPosition position = this->sequence.Add(event.id);
    if (position == EventPosition::kAfterGap) {
      return false;
    }
    if (position == EventPosition::kRepeated) {
      continue;
    }
    this->events += event.id >= 0 ? 1 : 0;
    bytes->append(event.bytes);
  }
  return true;
}

void StreamSession::NoteGap(std::int64_t gap_ms, bool was_moved) {
  this->longest_gap_ms = std::max(this->longest_gap_ms, gap_ms);
  if (gap_ms > kLinkStallMs && !was_moved) {
    this->RecordLinkStall();
  }
  if (gap_ms > kStallMs) {
    LogLine("stall")
        .Add("request", this->request.id)
        .Add("engine", this->engine)
        .Add("events", this->events)
        .Add("gap_ms", gap_ms)
        .Write();
  }
}

void StreamSession::RecordLinkStall() {
  if (const Backend* const from = this->deps.backends.Find(this->engine)) {
    this->stream_deps.links.NoteStall(from->entry.zone,
                                      this->deps.clock.WallMs());
  }
}

void StreamSession::SendHeadOnce() {
  if (!this->head_sent) {
    this->head_sent = true;
    this->writer->StartResponse(this->head);
  }
}

/////////////////////////////////
// End of the engine's connection
/////////////////////////////////

void StreamSession::OnEnd(const HttpCallResult& end) {
  this->call = 0;
  if (this->is_event_stream) {
    this->OnStreamEnd(end);
    return;
  }
  if (this->resumed_from.has_value()) {
    this->OnResumeFailed(end, this->meaning);
    return;
  }
  if (!end.status.ok()) {
    this->OnConnectionLost(end);
    return;
  }
  if (IsRejection(this->meaning)) {
    this->OnRejected();
    return;
  }
  this->ForwardWholeAnswer();
}

void StreamSession::OnStreamEnd(const HttpCallResult& end) {
  const bool may_be_stopped =
      this->move != nullptr && this->move->MayHaveStopped();
  // A response that ends by closing the connection is not known to be complete
  // while a move may have stopped the run, or without an event.
  const bool has_event = this->attempt_first_event_ms >= 0;
  const bool ended_early = end.ended_by_close && (may_be_stopped || !has_event);
  const bool whole =
      end.status.ok() && !ended_early && this->splitter.Rest().empty();
  if (whole) {
    this->Complete();
    return;
  }
  if (may_be_stopped) {
    this->phase = StreamPhase::kResuming;
    this->deferred_end = end;
    this->move->NoteStreamEnded();
    return;
  }
  this->OnConnectionLost(end);
}

// The engine rejected the request without running it. If no other engine may be
// tried, the caller is told so together with a retry delay.
void StreamSession::OnRejected() {
  LogLine("attempt-rejected")
      .Add("request", this->request.id)
      .Add("engine", this->engine)
      .Add("status", this->head.http_status)
      .WriteImportant();
  this->deps.health.RecordAttempt(this->engine, AttemptResult::kGood,
                                  this->deps.clock.MonotonicMs());
  this->ReleaseFleetState(StreamEnd::kCut);
  this->versions = this->deps.versions.RuleForRetry(this->terms.service);
  ++this->resumes;
  const RetryDecision answer =
      this->deps.budgets.BudgetFor(this->terms.service)
          .Ask({this->resumes, this->deadline_ms, this->terms.max_attempts},
               this->deps.clock.MonotonicMs(), this->deps.random());
  if (answer.verdict == RetryVerdict::kRetry) {
    this->RequestPlacement();
    return;
  }
  this->Refuse(ErrorId::kOverloaded, Outcome::kNotRun, "send",
               "the engine is full", kOverloadedRetryMs);
}

void StreamSession::OnConnectionLost(const HttpCallResult& end) {
  const bool may_have_left = end.request_may_have_left;
  const AttemptVerdict verdict =
      JudgeAttempt({may_have_left, false, this->head_sent});
  LogLine("attempt-failed")
      .Add("request", this->request.id)
      .Add("engine", this->engine)
      .Add("content", this->guarded.Content())
      .Add("outcome", OutcomeName(verdict.outcome))
      .Add("events", this->events)
      .Add("why", std::string{end.status.message()})
      .WriteImportant();
  if (may_have_left && !end.exceeded_limit) {
    this->guarded.NoteInterrupted(
        ServerUnlessLeaving(this->deps.backends, this->engine),
        this->events == this->events_before);
  }
  this->RecordAttemptEnd(ResultOfFailure(end));
  if (verdict.may_try_elsewhere && this->resumes < kMaxUnreachableAttempts) {
    ++this->resumes;
    this->versions = this->deps.versions.RuleForRetry(this->terms.service);
    this->RequestPlacement();
    return;
  }
  if (this->head_sent) {
    this->Interrupt("the engine's stream broke off");
    return;
  }
  if (!may_have_left) {
    this->Refuse(ErrorId::kConnectFailed, verdict.outcome, "send",
                 "no engine can be reached", kNoEngineRetryMs);
    return;
  }
  this->Refuse(ErrorId::kConnectionLost, verdict.outcome, "read-answer",
               "the engine broke off", -1);
}

/////////
// Ending
/////////

void StreamSession::Complete() {
  this->NoteGoodRun();
  this->guarded.NoteCompleted();
  this->RecordAttemptEnd(AttemptResult::kGood);
  this->SendHeadOnce();
  this->writer->FinishStream();
  this->End("complete", "");
}

// Forwards an answer that is not an event stream, such as an error of the
// engine, unchanged.
void StreamSession::ForwardWholeAnswer() {
  const bool failed = this->head.http_status >= http_code::kFirstServerError ||
                      this->meaning == AnswerMeaning::kUnsigned;
  this->RecordAttemptEnd(failed ? AttemptResult::kFailed
                                : AttemptResult::kGood);
  if (this->meaning == AnswerMeaning::kUnsigned) {
    this->Refuse(ErrorId::kPeerMalformed, Outcome::kUnknown, "read-answer",
                 "the answer is not the engine's", -1);
    return;
  }
  this->guarded.NoteCompleted();
  const std::string body = this->whole_body.Take();
  this->head.content_length = body.size();
  this->SendHeadOnce();
  this->writer->Write(body);
  this->writer->FinishStream();
  this->End("answered", absl::StrCat(this->head.http_status));
}

void StreamSession::Refuse(ErrorId id, Outcome outcome, std::string_view step,
                           std::string_view what, std::int64_t retry_after_ms) {
  ErrorDetail detail;
  detail.id = id;
  detail.outcome = outcome;
  detail.step = std::string(step);
  detail.peer = this->engine;
  detail.retry_after_ms = retry_after_ms;
  Problem problem;
  problem.request = this->request.id;
  problem.status = MakeError(absl::StatusCode::kUnavailable, detail, what);
  this->writer->SendWhole(this->callers.Answer(problem));
  this->End(OutcomeName(outcome), what);
}

void StreamSession::Interrupt(std::string_view why) {
  if (!this->head_sent) {
    this->Refuse(ErrorId::kConnectionLost, Outcome::kUnknown, "read-answer",
                 why, -1);
    return;
  }
  this->writer->Abort();
  this->End("interrupted", why);
}

void StreamSession::OnCallerGone() {
  if (this->phase != StreamPhase::kEnded) {
    if (this->phase == StreamPhase::kQueued) {
      this->stream_deps.dispatcher.Cancel(this->request.id);
    }
    this->End("caller_gone", "");
  }
}

void StreamSession::OnDeadline() {
  if (this->phase == StreamPhase::kQueued) {
    this->stream_deps.dispatcher.Cancel(this->request.id);
    this->Refuse(ErrorId::kDeadlinePassed, Outcome::kNotRun, "queue",
                 "no engine had room in time", kNoEngineRetryMs);
    return;
  }
  if (this->head_sent) {
    this->Interrupt("the deadline passed");
    return;
  }
  this->guarded.NoteTimedOut(
      ServerUnlessLeaving(this->deps.backends, this->engine));
  this->Refuse(ErrorId::kDeadlinePassed, Outcome::kUnknown, "wait",
               "the engine did not begin in time", -1);
}

void StreamSession::EndIfQuarantined(const CrashRecord& quarantined) {
  const bool is_waiting =
      this->phase == StreamPhase::kQueued || this->phase == StreamPhase::kSent;
  if (!is_waiting || !this->guarded.IsQuarantinedBy(quarantined)) {
    return;
  }
  if (this->phase == StreamPhase::kQueued) {
    this->stream_deps.dispatcher.Cancel(this->request.id);
    this->RefuseIfQuarantined();
    return;
  }
  this->CancelCall();
  this->Refuse(ErrorId::kQuarantined, Outcome::kUnknown, "quarantine",
               "servers ended each time they ran this request", -1);
}

// Called at most once for each attempt.
void StreamSession::NoteGoodRun() {
  if (std::exchange(this->attempt_good, true) ||
      this->attempt_first_event_ms < 0) {
    return;
  }
  this->guarded.NoteGoodRun(
      this->deps.clock.WallMs() -
      (this->deps.clock.MonotonicMs() - this->attempt_first_event_ms));
}

// A run that was resumed from a copy says nothing about the time until a first
// event.
void StreamSession::NoteFirstEvent(std::int64_t now_ms) {
  this->attempt_first_event_ms = now_ms;
  AttemptEnd begun;
  begun.server = this->engine;
  begun.route = this->terms.route;
  begun.sent_ms = this->sent_ms;
  begun.first_ms = this->events_before > 0 ? -1 : now_ms - this->sent_ms;
  RecordFirstEvent(this->deps, begun);
}

std::int64_t StreamSession::MeanGapMs() const {
  const std::int64_t events_here = this->events - this->events_before;
  if (this->attempt_first_event_ms < 0 || events_here < kMinEventsForGap) {
    return -1;
  }
  return (this->last_event_ms - this->attempt_first_event_ms) /
         (events_here - 1);
}

void StreamSession::RecordAttemptEnd(AttemptResult result) {
  if (!this->engine.empty()) {
    AttemptEnd end;
    end.server = this->engine;
    end.route = this->terms.route;
    end.result = result;
    end.sent_ms = this->sent_ms;
    end.has_begun = this->attempt_first_event_ms >= 0;
    end.gap_ms = this->MeanGapMs();
    RecordAttempt(this->deps, end);
  }
  this->ReleaseFleetState(result == AttemptResult::kGood && this->events > 0
                              ? StreamEnd::kComplete
                              : StreamEnd::kCut);
}

void StreamSession::ReleaseFleetState(StreamEnd how) {
  if (std::exchange(this->in_fleet_state, false)) {
    this->stream_deps.fleet.NoteEnded(this->request.id, how,
                                      this->deps.clock.WallMs());
  }
}

void StreamSession::CancelCall() {
  if (this->call != 0) {
    this->deps.client.Cancel(std::exchange(this->call, 0));
  }
}

void StreamSession::End(std::string_view outcome, std::string_view why) {
  if (this->phase == StreamPhase::kEnded) {
    return;
  }
  this->phase = StreamPhase::kEnded;
  this->CancelCall();
  this->whole_body.Clear();
  if (this->move != nullptr) {
    this->ReleaseMoveReservations();
    this->move.reset();
  }
  this->ReleaseFleetState(StreamEnd::kCut);
  LogLine line("end");
  line.Add("request", this->request.id)
      .Add("workspace", this->terms.workspace)
      .Add("route", this->terms.route)
      .Add("engine", this->engine)
      .Add("outcome", outcome)
      .Add("why", why)
      .Add("events", this->events)
      .Add("resumes", this->resumes)
      .Add("first_event_ms", this->first_event_ms)
      .Add("longest_gap_ms", this->longest_gap_ms)
      .Add("total_ms", this->deps.clock.MonotonicMs() - this->begun_ms);
  outcome == "complete" ? line.Write() : line.WriteImportant();
  RelayRequestSummary summary;
  summary.route = this->terms.route;
  summary.service = this->terms.service;
  summary.outcome = std::string(outcome);
  summary.reason = std::string(why);
  summary.attempts = this->attempts;
  summary.moves = this->moves;
  summary.first_ms = this->first_event_ms;
  summary.longest_gap_ms = this->longest_gap_ms;
  summary.total_ms = this->deps.clock.MonotonicMs() - this->begun_ms;
  this->deps.observer.OnRequestEnded(summary);
  if (this->ended) {
    const std::function<void()> over = std::move(this->ended);
    over();
  }
}

}  // namespace meadowthread
