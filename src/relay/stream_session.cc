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

// A caller that tells no limit, on a route without one: streams of the longest
// answers take most of a minute.
constexpr std::int64_t kDefaultLimitMs = 60'000;
constexpr std::size_t kMostEventBytes = std::size_t{1024} * 1024;
constexpr std::size_t kMostWholeBytes = std::size_t{1024} * 1024;
// A caller that reads slower than its tokens come holds this much here; the
// rest waits at the engine.
constexpr std::int64_t kSlowCallerBytes = std::int64_t{256} * 1024;
constexpr std::int64_t kFullRetryMs = 300;
// A pause of several steps of a full engine: its run was preempted, waited for
// a copy, or was held up by prompts beside it.
constexpr std::int64_t kStallMs = 250;
// A retransmission of a lost packet takes 200 ms; steps beside prompts take 20.
constexpr std::int64_t kLinkStallMs = 150;
constexpr std::string_view kEventStreamType = "text/event-stream";

}  // namespace

StreamSession::StreamSession(const RelayParts& parts,
                             const StreamParts& stream_parts,
                             EngineControl& control, const CallerWire& callers,
                             RelayRequest request, RelayTerms terms,
                             std::int64_t tokens_per_event,
                             std::unique_ptr<ResponseWriter> writer,
                             std::function<void()> ended)
    : parts(parts),
      stream_parts(stream_parts),
      control(control),
      callers(callers),
      request(std::move(request)),
      terms(std::move(terms)),
      guarded(parts.quarantine,
              {this->terms.workspace, this->terms.route, this->request.id},
              [this] { return ContentKeyOf(this->request, this->terms); }),
      tokens_per_event(tokens_per_event),
      writer(std::move(writer)),
      ended(std::move(ended)),
      cutter(kMostEventBytes),
      begun_ms(parts.clock.MonotonicMs()) {
  this->deadline_ms = DeadlineMs(this->request, this->terms, kDefaultLimitMs);
}

StreamSession::~StreamSession() { this->CancelCall(); }

std::int64_t StreamSession::LeftMs() const {
  return this->deadline_ms - this->parts.clock.MonotonicMs();
}

std::int64_t StreamSession::MemoryTokens() const {
  const std::int64_t prompt = this->request.generation.has_value()
                                  ? this->request.generation->prompt_tokens
                                  : 0;
  return prompt + this->events * this->tokens_per_event;
}

//////////////////
// Passing it on
//////////////////

void StreamSession::OnHead(int http_status,
                           std::span<const HttpHeader> headers) {
  this->meaning = this->parts.wire.Read(http_status, headers);
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
    if (this->whole_body.size() + data.size() <= kMostWholeBytes) {
      this->whole_body.append(data);
    }
    return;
  }
  std::vector<CutEvent> cut;
  if (!this->cutter.Feed(data, &cut)) {
    this->CancelCall();
    this->BreakOff("an event is longer than its bound");
    return;
  }
  if (!cut.empty()) {
    this->PassOn(&cut);
  }
}

// Events are numbered: one that came already is left out, and a gap can't be
// closed any more.
void StreamSession::PassOn(std::vector<CutEvent>* cut) {
  const std::int64_t now_ms = this->parts.clock.MonotonicMs();
  const bool was_moved = this->phase == StreamPhase::kBetween;
  if (was_moved) {
    ++this->moves;
    LogLine("resumed")
        .Add("request", this->request.id)
        .Add("engine", this->engine)
        .Add("after_event", this->last_id)
        .Add("pause_ms", now_ms - this->last_event_ms)
        .Write();
    this->resumed_from.reset();
  }
  if (this->first_event_ms < 0) {
    this->first_event_ms = now_ms - this->begun_ms;
  } else {
    const std::int64_t gap_ms = now_ms - this->last_event_ms;
    this->longest_gap_ms = std::max(this->longest_gap_ms, gap_ms);
    if (gap_ms > kLinkStallMs && !was_moved) {
      this->NoteLinkStall();
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
  this->last_event_ms = now_ms;
  this->phase = StreamPhase::kStreaming;
  std::string bytes;
  for (const CutEvent& event : *cut) {
    if (event.id >= 0 && event.id <= this->last_id) {
      continue;
    }
    if (this->last_id >= 0 && event.id > this->last_id + 1) {
      this->CancelCall();
      this->BreakOff("the next engine left events out");
      return;
    }
    if (event.id >= 0) {
      this->last_id = event.id;
      ++this->events;
    }
    bytes.append(event.bytes);
  }
  if (this->noted) {
    this->stream_parts.fleet.NoteTokens(this->request.id,
                                        this->events * this->tokens_per_event,
                                        this->parts.clock.WallMs());
  }
  this->SendHeadOnce();
  this->writer->Write(bytes);
  if (this->writer->PendingBytes() > kSlowCallerBytes && this->call != 0) {
    this->paused = true;
    this->parts.client.SetPaused(this->call, true);
  }
}

void StreamSession::NoteLinkStall() {
  if (const Backend* const from = this->parts.backends.Find(this->engine)) {
    this->stream_parts.links.NoteStall(from->entry.zone,
                                       this->parts.clock.WallMs());
  }
}

void StreamSession::SendHeadOnce() {
  if (!this->head_sent) {
    this->head_sent = true;
    this->writer->StartAnswer(this->head);
  }
}

////////////////////////////
// The end of its connection
////////////////////////////

void StreamSession::OnEnd(const HttpEnd& end) {
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
    this->OnBroken(end);
    return;
  }
  if (IsRejection(this->meaning)) {
    this->OnRejected();
    return;
  }
  this->PassOnWhole();
}

void StreamSession::OnStreamEnd(const HttpEnd& end) {
  const bool may_be_stopped =
      this->move != nullptr && this->move->MayHaveStopped();
  // An end without framing says nothing while a move may have stopped the run.
  const bool whole = end.status.ok() &&
                     !(end.ended_by_close && may_be_stopped) &&
                     this->cutter.Rest().empty();
  if (whole) {
    this->Complete();
    return;
  }
  if (may_be_stopped) {
    this->phase = StreamPhase::kBetween;
    this->held_end = end;
    this->move->NoteStreamEnded();
    return;
  }
  this->OnBroken(end);
}

// The engine took nothing of it. A request that may be sent to one engine only
// is told so, with when to come back.
void StreamSession::OnRejected() {
  LogLine("attempt-rejected")
      .Add("request", this->request.id)
      .Add("engine", this->engine)
      .Add("status", this->head.http_status)
      .WriteImportant();
  this->LeaveEngine(AttemptResult::kGood);
  ++this->resumes;
  const RetryAnswer answer =
      this->parts.budgets.Of(this->terms.service)
          .Ask({this->resumes, this->deadline_ms, this->terms.max_attempts},
               this->parts.clock.MonotonicMs(), this->parts.random());
  if (answer.verdict == RetryVerdict::kRetry) {
    this->Offer();
    return;
  }
  this->Refuse(ErrorId::kOverloaded, Outcome::kNotRun, "send",
               "the engine is full", kFullRetryMs);
}

void StreamSession::OnBroken(const HttpEnd& end) {
  const bool left = end.request_may_have_left;
  const AttemptVerdict verdict = JudgeAttempt({left, false, this->head_sent});
  LogLine("attempt-failed")
      .Add("request", this->request.id)
      .Add("engine", this->engine)
      .Add("content", this->guarded.Content())
      .Add("outcome", OutcomeName(verdict.outcome))
      .Add("events", this->events)
      .Add("why", std::string{end.status.message()})
      .WriteImportant();
  if (left) {
    this->guarded.NoteCut(UnannouncedServer(this->parts.backends, this->engine),
                          this->events == this->events_before);
  }
  this->LeaveEngine(left ? AttemptResult::kFailed
                         : AttemptResult::kUnreachable);
  if (verdict.may_try_elsewhere && this->resumes < kMostUnreachable) {
    ++this->resumes;
    this->Offer();
    return;
  }
  if (this->head_sent) {
    this->BreakOff("the engine's stream broke off");
    return;
  }
  if (!left) {
    this->Refuse(ErrorId::kConnectFailed, verdict.outcome, "send",
                 "no engine can be reached", kNoEngineRetryMs);
    return;
  }
  this->Refuse(ErrorId::kConnectionLost, verdict.outcome, "read-answer",
               "the engine broke off", -1);
}

///////////
// Ending
///////////

void StreamSession::Complete() {
  this->guarded.NoteWhole();
  this->LeaveEngine(AttemptResult::kGood);
  this->SendHeadOnce();
  this->writer->FinishStream();
  this->End("complete", "");
}

// An engine's own answer that is no stream of events: a failure as it gave it.
void StreamSession::PassOnWhole() {
  const bool failed = this->head.http_status >= http_code::kFirstServerError ||
                      this->meaning == AnswerMeaning::kUnsigned;
  this->LeaveEngine(failed ? AttemptResult::kFailed : AttemptResult::kGood);
  if (this->meaning == AnswerMeaning::kUnsigned) {
    this->Refuse(ErrorId::kPeerMalformed, Outcome::kUnknown, "read-answer",
                 "the answer is not the engine's", -1);
    return;
  }
  this->guarded.NoteWhole();
  this->head.content_length = this->whole_body.size();
  this->SendHeadOnce();
  this->writer->Write(this->whole_body);
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

void StreamSession::BreakOff(std::string_view why) {
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
      this->stream_parts.dispatcher.Cancel(this->request.id);
    }
    this->End("caller_gone", "");
  }
}

void StreamSession::OnDeadline() {
  if (this->phase == StreamPhase::kQueued) {
    this->stream_parts.dispatcher.Cancel(this->request.id);
    this->Refuse(ErrorId::kDeadlinePassed, Outcome::kNotRun, "queue",
                 "no engine had room in time", kNoEngineRetryMs);
    return;
  }
  if (this->head_sent) {
    this->BreakOff("the deadline passed");
    return;
  }
  this->guarded.NoteSilent(
      UnannouncedServer(this->parts.backends, this->engine));
  this->Refuse(ErrorId::kDeadlinePassed, Outcome::kUnknown, "wait",
               "the engine did not begin in time", -1);
}

void StreamSession::EndWithHost(std::int64_t return_after_ms) {
  if (this->phase != StreamPhase::kQueued) {
    this->BreakOff("the host ends");
    return;
  }
  this->stream_parts.dispatcher.Cancel(this->request.id);
  this->Refuse(ErrorId::kHostLeaving, Outcome::kNotRun, "stop", "the host ends",
               return_after_ms);
}

void StreamSession::EndIfQuarantined(const CrashRecordId& quarantined) {
  const bool is_waiting =
      this->phase == StreamPhase::kQueued || this->phase == StreamPhase::kSent;
  if (!is_waiting || !this->guarded.Is(quarantined)) {
    return;
  }
  if (this->phase == StreamPhase::kQueued) {
    this->stream_parts.dispatcher.Cancel(this->request.id);
    this->EndsInQuarantine();
    return;
  }
  this->CancelCall();
  this->Refuse(ErrorId::kQuarantined, Outcome::kUnknown, "quarantine",
               "servers ended each time they ran this request", -1);
}

void StreamSession::LeaveEngine(AttemptResult result) {
  if (!this->engine.empty()) {
    this->parts.health.Note(this->engine, result,
                            this->parts.clock.MonotonicMs());
  }
  if (std::exchange(this->noted, false)) {
    this->stream_parts.fleet.NoteEnded(
        this->request.id,
        result == AttemptResult::kGood && this->events > 0
            ? StreamEnd::kComplete
            : StreamEnd::kCut,
        this->parts.clock.WallMs());
  }
}

void StreamSession::CancelCall() {
  if (this->call != 0) {
    this->parts.client.Cancel(std::exchange(this->call, 0));
  }
}

void StreamSession::End(std::string_view outcome, std::string_view why) {
  if (this->phase == StreamPhase::kEnded) {
    return;
  }
  this->phase = StreamPhase::kEnded;
  this->CancelCall();
  if (this->move != nullptr) {
    this->EndMove();
    this->move.reset();
  }
  if (std::exchange(this->noted, false)) {
    this->stream_parts.fleet.NoteEnded(this->request.id, StreamEnd::kCut,
                                       this->parts.clock.WallMs());
  }
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
      .Add("total_ms", this->parts.clock.MonotonicMs() - this->begun_ms);
  outcome == "complete" ? line.Write() : line.WriteImportant();
  RelayEnd told;
  told.route = this->terms.route;
  told.service = this->terms.service;
  told.outcome = std::string(outcome);
  told.reason = std::string(why);
  told.attempts = this->sendings;
  told.moves = this->moves;
  told.first_ms = this->first_event_ms;
  told.longest_gap_ms = this->longest_gap_ms;
  told.total_ms = this->parts.clock.MonotonicMs() - this->begun_ms;
  this->parts.observer.OnRequestEnded(told);
  if (this->ended) {
    const std::function<void()> over = std::move(this->ended);
    over();
  }
}

}  // namespace meadowthread
