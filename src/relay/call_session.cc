#include "relay/call_session.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/log_line.h"
#include "net/http_code.h"
#include "net/http_headers.h"
#include "relay/attempt_outcome.h"
#include "relay/detail/call_attempt.h"

namespace meadowthread {
namespace {

// A caller that tells no limit, on a route without one.
constexpr std::int64_t kDefaultLimitMs = 30'000;
// A call that may be repeated is sent to a second server when the first has
// not answered within this many times its target latency.
constexpr std::int64_t kHedgeTargets = 2;
// What is left must be worth sending: a shorter deadline is no offer.
constexpr std::int64_t kLeastLeftMs = 5;
// A resting connection this young was in use a moment ago; an older one may
// have been closed or forgotten by its peer.
constexpr std::int64_t kYoungMs = 4'000;
constexpr std::int64_t kYoungForOnceMs = 1'000;
// Weights of a server's cost beside its requests in progress.
constexpr double kFailureCost = 12.0;
constexpr double kSlowCost = 1.0;
// Among servers that are all set aside, those that are not go first.
constexpr double kAsideCost = 1'000.0;
// Costs that differ by less are alike.
constexpr double kAlike = 0.25;

}  // namespace

CallSession::CallSession(const RelayParts& parts, RelayRequest request,
                         RelayTerms terms, CallDone done)
    : parts(parts),
      request(std::move(request)),
      terms(std::move(terms)),
      guarded(parts.quarantine,
              {this->terms.workspace, this->terms.route, this->request.id},
              [this] { return ContentKeyOf(this->request, this->terms); }),
      done(std::move(done)),
      begun_ms(parts.clock.MonotonicMs()) {
  this->deadline_ms = DeadlineMs(this->request, this->terms, kDefaultLimitMs);
}

CallSession::~CallSession() = default;

void CallSession::After(std::int64_t delay_ms, void (CallSession::*task)()) {
  this->parts.scheduler.After(delay_ms, this->life.Guarded([this, task] {
    if (!this->ended) {
      (this->*task)();
    }
  }));
}

void CallSession::Begin() {
  this->parts.budgets.Of(this->terms.service).NoteFirstAttempt();
  this->After(std::max<std::int64_t>(0, this->LeftMs()),
              &CallSession::GiveUpAtDeadline);
  this->Send();
}

std::int64_t CallSession::LeftMs() const {
  return this->deadline_ms - this->parts.clock.MonotonicMs();
}

////////////////////////
// Choosing and sending
////////////////////////

double CallSession::CostOf(const Backend& backend, std::int64_t now_ms) const {
  const std::string& id = backend.key;
  double cost = this->parts.health.InProgress(id) +
                kFailureCost * this->parts.health.FailureShare(id, now_ms);
  if (!this->parts.health.MayUse(id, now_ms)) {
    cost += kAsideCost;
  }
  if (backend.warm_at_ms > now_ms) {
    cost += kSlowCost;
  }
  return cost;
}

// The cheapest of those it was not sent to yet; equals are drawn between, as
// several hosts see them alike.
const Backend* CallSession::Choose() const {
  const std::int64_t now_ms = this->parts.clock.MonotonicMs();
  const Backend* best = nullptr;
  double best_cost = 0.0;
  std::uint64_t equals = 0;
  for (const Backend* const backend :
       this->parts.backends.Usable(this->terms.service)) {
    const bool was_tried = std::find(this->tried.begin(), this->tried.end(),
                                     backend->key) != this->tried.end();
    if (was_tried || !MayRunIn(this->terms.homes, backend->region) ||
        !this->parts.arrivals.May(backend->key, now_ms)) {
      continue;
    }
    const double cost = this->CostOf(*backend, now_ms);
    if (best == nullptr || cost < best_cost - kAlike) {
      best = backend;
      best_cost = cost;
      equals = 1;
    } else if (cost < best_cost + kAlike &&
               this->parts.random() % ++equals == 0) {
      best = backend;
      best_cost = std::min(best_cost, cost);
    }
  }
  return best;
}

bool CallSession::HasHome() const {
  return !this->terms.homes.has_value() ||
         this->parts.backends.HasHome(this->terms.service, this->terms.homes);
}

// The wall clock counts here: this host may have been paused since it claimed.
bool CallSession::IsClaimOver() const {
  return this->terms.send_until_unix_ms > 0 &&
         this->parts.clock.WallMs() >= this->terms.send_until_unix_ms;
}

// Between two attempts too: servers may have ended under the first ones.
void CallSession::Send() {
  if (const auto lasts_ms = this->guarded.QuarantinedForMs()) {
    this->EndOrWait(QuarantinedError(*lasts_ms, this->may_have_run));
    return;
  }
  const Backend* const backend = this->Choose();
  LogLine line("route");
  line.Add("request", this->request.id)
      .Add("workspace", this->terms.workspace)
      .Add("route", this->terms.route)
      .Add("rule", RunRuleName(this->terms.rule))
      .Add("service", this->terms.service)
      .Add("plan", this->terms.version)
      .Add("attempt", this->tried.size() + 1)
      .Add("engine", backend == nullptr ? "" : backend->key)
      .Add("left_ms", this->LeftMs())
      .Write();
  if (backend == nullptr && !this->HasHome()) {
    this->EndOrWait(this->Problem(ErrorId::kOutsideHomes, Outcome::kNotRun,
                                  "choose",
                                  "no backend server is in its regions"));
    return;
  }
  if (backend == nullptr) {
    this->EndOrWait(this->Problem(ErrorId::kNoEngine, Outcome::kNotRun,
                                  "choose",
                                  "no backend server of the service is left"));
    return;
  }
  const std::int64_t left_ms = this->LeftMs();
  if (left_ms < kLeastLeftMs || this->IsClaimOver()) {
    this->EndOrWait(this->Problem(ErrorId::kDeadlinePassed, Outcome::kNotRun,
                                  "send", "the deadline is too near to send"));
    return;
  }
  SendTerms send;
  send.address = backend->entry.address;
  send.instance = backend->entry.id;
  send.workspace = this->terms.workspace;
  send.left_ms = left_ms;
  HttpRequest http = this->parts.wire.RequestFor(this->request, send);
  http.connect_timeout_ms = kBackendConnectMs;
  http.send_once = true;
  const bool repeatable = this->terms.rule == RunRule::kRepeatable;
  http.reuse_idle_ms = repeatable ? kYoungMs : kYoungForOnceMs;
  this->tried.push_back(backend->key);
  this->parts.health.NoteBegun(backend->key);
  this->parts.arrivals.NoteSent(backend->key, this->parts.clock.MonotonicMs());
  this->attempts.push_back(std::make_unique<Attempt>(*this, *backend));
  this->attempts.back()->Start(http);
  this->PlanHedge();
}

// A server that hangs answers nobody; a call that may be repeated need not wait
// for it. Both answers are good: the first whole one counts.
void CallSession::PlanHedge() {
  const bool may =
      this->terms.rule == RunRule::kRepeatable &&
      this->tried.size() < static_cast<std::size_t>(this->terms.max_attempts) &&
      this->terms.target_latency_ms > 0;
  if (!may) {
    return;
  }
  const std::size_t planned_at = this->tried.size();
  this->parts.scheduler.After(kHedgeTargets * this->terms.target_latency_ms,
                              this->life.Guarded([this, planned_at] {
                                if (!this->ended &&
                                    this->tried.size() == planned_at &&
                                    !this->attempts.empty()) {
                                  this->SendAgain(true);
                                }
                              }));
}

/////////////////////////////
// What became of an attempt
/////////////////////////////

void CallSession::Retire(Attempt& attempt) {
  const auto place = std::find_if(
      this->attempts.begin(), this->attempts.end(),
      [&attempt](const auto& one) { return one.get() == &attempt; });
  this->parts.health.NoteOver(attempt.BackendId());
  this->retired.push_back(std::move(*place));
  this->attempts.erase(place);
}

void CallSession::OnAttemptEnd(Attempt& attempt) {
  this->Retire(attempt);
  if (attempt.Ended().request_may_have_left) {
    ++this->sent;
  }
  if (attempt.Ended().status.ok()) {
    this->OnAnswer(attempt);
  } else {
    this->OnBroken(attempt);
  }
}

void CallSession::OnAnswer(Attempt& attempt) {
  const std::int64_t now_ms = this->parts.clock.MonotonicMs();
  HttpResponse& answer = attempt.Answer();
  const AnswerMeaning meaning =
      this->parts.wire.Read(answer.http_status, answer.headers);
  LogLine line("attempt-answered");
  line.Add("request", this->request.id)
      .Add("engine", attempt.BackendId())
      .Add("status", answer.http_status)
      .Add("meaning", static_cast<int>(meaning))
      .Add("took_ms", now_ms - attempt.SentMs())
      .Write();
  const AttemptVerdict verdict = JudgeAttempt({true, IsRejection(meaning)});
  if (verdict.may_try_elsewhere) {
    // A full server is not at fault; another one may have room.
    if (!this->SendAgain(true)) {
      this->EndOrWait(this->Problem(ErrorId::kOverloaded, verdict.outcome,
                                    "send", "the backend server is full"));
    }
    return;
  }
  this->may_have_run = true;
  if (meaning == AnswerMeaning::kRan) {
    this->guarded.NoteWhole();
  }
  const bool failed = meaning == AnswerMeaning::kUnsigned ||
                      answer.http_status >= http_code::kFirstServerError;
  this->parts.health.Note(
      attempt.BackendId(),
      failed ? AttemptResult::kFailed : AttemptResult::kGood, now_ms);
  const bool repeatable = this->terms.rule == RunRule::kRepeatable;
  if (failed && repeatable && this->SendAgain(true)) {
    return;
  }
  if (meaning == AnswerMeaning::kUnsigned) {
    this->EndOrWait(this->Problem(ErrorId::kPeerMalformed, verdict.outcome,
                                  "read-answer",
                                  "the answer is not the backend server's"));
    return;
  }
  if (failed && !this->attempts.empty()) {
    return;  // the other attempt may do better
  }
  this->End(std::move(answer));
}

void CallSession::OnBroken(Attempt& attempt) {
  const HttpEnd& end = attempt.Ended();
  const std::int64_t now_ms = this->parts.clock.MonotonicMs();
  const bool left = end.request_may_have_left;
  const AttemptVerdict verdict = JudgeAttempt({left});
  this->parts.health.Note(
      attempt.BackendId(),
      left ? AttemptResult::kFailed : AttemptResult::kUnreachable, now_ms);
  LogLine("attempt-failed")
      .Add("request", this->request.id)
      .Add("engine", attempt.BackendId())
      .Add("content", this->guarded.Content())
      .Add("outcome", OutcomeName(verdict.outcome))
      .Add("took_ms", now_ms - attempt.SentMs())
      .Add("why", std::string{end.status.message()})
      .WriteImportant();
  if (left) {
    this->guarded.NoteCut(
        UnannouncedServer(this->parts.backends, attempt.BackendId()), true);
  }
  this->may_have_run = this->may_have_run || left;
  if (!left) {
    ++this->unreachable;
    if (this->unreachable <= kMostUnreachable && this->SendAgain(false)) {
      return;
    }
  }
  const bool repeatable = this->terms.rule == RunRule::kRepeatable;
  if (left && repeatable && this->SendAgain(true)) {
    return;
  }
  ErrorDetail detail = DetailOf(end.status);
  // What one attempt may have done stands, whatever became of the next.
  detail.outcome = this->may_have_run ? Outcome::kUnknown : verdict.outcome;
  detail.peer = attempt.BackendId();
  detail.retry_after_ms =
      detail.outcome == Outcome::kNotRun ? kNoServerRetryMs : -1;
  this->EndOrWait(
      MakeError(end.status.code(), detail, std::string{end.status.message()}));
}

// What never left the host is no second sending to any server, and takes
// nothing from the budget that protects them.
bool CallSession::SendAgain(bool connected) {
  if (this->ended || this->LeftMs() < kLeastLeftMs) {
    return false;
  }
  if (connected) {
    const RetryAnswer answer =
        this->parts.budgets.Of(this->terms.service)
            .Ask({this->sent + static_cast<int>(this->attempts.size()),
                  this->deadline_ms, this->terms.max_attempts},
                 this->parts.clock.MonotonicMs(), this->parts.random());
    if (answer.verdict != RetryVerdict::kRetry) {
      LogLine("retry-refused")
          .Add("request", this->request.id)
          .Add("why", RetryVerdictName(answer.verdict))
          .WriteImportant();
      return false;
    }
  }
  if (this->Choose() == nullptr) {
    return false;
  }
  this->Send();
  return true;
}

}  // namespace meadowthread
