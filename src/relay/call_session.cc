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
#include "relay/send_gate.h"

namespace meadowthread {
namespace {

// Time limit if neither the caller nor the route sets one.
constexpr std::int64_t kDefaultTimeoutMs = 30'000;
// A repeatable call is hedged, i.e. sent to a second server, if the first one
// has not answered within this many times the target latency.
constexpr std::int64_t kHedgeDelayTargets = 2;
// A request is not worth sending with less time than this until its deadline.
constexpr std::int64_t kMinRemainingMs = 5;
// Idle connections are reused only this soon after their last use; older ones
// may have been closed or forgotten by the peer. The limit is lower for
// requests that may run only once, since these can't be retried if a reused
// connection breaks.
constexpr std::int64_t kReuseIdleMs = 4'000;
constexpr std::int64_t kReuseIdleAtMostOnceMs = 1'000;
// Weights in the cost by which a server is chosen. A server's cost rises by 1
// for each request in progress there.
constexpr double kFailureRateWeight = 12.0;
constexpr double kColdCost = 1.0;
// High enough that servers being avoided after failures are used only if there
// are no others.
constexpr double kBackoffCost = 1'000.0;
// A server that has asked another host to back off is likely to reject this
// host's requests as well.
constexpr double kFullCost = 500.0;
// Costs that differ by less count as equal.
constexpr double kEqualCostMargin = 0.25;

}  // namespace

CallSession::CallSession(const RelayDependencies& deps, RelayRequest request,
                         RelayTerms terms, CallDone done)
    : deps(deps),
      request(std::move(request)),
      terms(std::move(terms)),
      guarded(deps.quarantine,
              {this->terms.workspace, this->terms.route, this->request.id,
               this->request.shared_parts},
              [this] { return ContentKeyOf(this->request, this->terms); }),
      done(std::move(done)),
      begun_ms(deps.clock.MonotonicMs()) {
  this->deadline_ms = DeadlineMs(this->request, this->terms, kDefaultTimeoutMs);
}

CallSession::~CallSession() = default;

void CallSession::After(std::int64_t delay_ms, void (CallSession::*task)()) {
  this->deps.scheduler.After(delay_ms, this->life.Guarded([this, task] {
    if (!this->ended) {
      (this->*task)();
    }
  }));
}

void CallSession::Begin() {
  this->deps.budgets.BudgetFor(this->terms.service).NoteFirstAttempt();
  this->versions = this->deps.versions.RuleForRequest(this->terms.service,
                                                      this->terms.route);
  this->After(std::max<std::int64_t>(0, this->RemainingMs()),
              &CallSession::OnDeadline);
  this->Send();
}

std::int64_t CallSession::RemainingMs() const {
  return this->deadline_ms - this->deps.clock.MonotonicMs();
}

///////////////////////
// Choosing and sending
///////////////////////

double CallSession::CostOf(const Backend& backend, std::int64_t now_ms) const {
  const std::string& id = backend.key;
  double cost = this->deps.health.InProgress(id) +
                kFailureRateWeight * this->deps.health.FailureRate(id, now_ms);
  if (!this->deps.health.IsUsable(id, now_ms)) {
    cost += kBackoffCost;
  }
  if (backend.warm_at_ms > now_ms) {
    cost += kColdCost;
  }
  if (this->deps.backoffs.IsFull(id, now_ms)) {
    cost += kFullCost;
  }
  return cost;
}

// If no server of the versions meant for the first attempt can take the call,
// it goes to those for further attempts.
const Backend* CallSession::ChooseBackend() {
  if (!this->tried.empty()) {
    this->versions = this->deps.versions.RuleForRetry(this->terms.service);
  }
  const Backend* const chosen = this->CheapestBackend();
  if (chosen != nullptr || this->versions.kind == VersionRule::Kind::kAny) {
    return chosen;
  }
  this->versions = this->deps.versions.RuleForRetry(this->terms.service);
  return this->CheapestBackend();
}

// Returns the cheapest server that the call has not been sent to yet. Chooses
// between equal costs at random, so that hosts that see the same costs don't
// all choose the same server.
const Backend* CallSession::CheapestBackend() const {
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  const SendRules rules = {this->terms.service, this->terms.allowed_regions,
                           this->versions};
  const Backend* best = nullptr;
  double best_cost = 0.0;
  std::uint64_t equals = 0;
  for (const Backend* const backend :
       this->deps.backends.Usable(this->terms.service)) {
    const bool was_tried = std::find(this->tried.begin(), this->tried.end(),
                                     backend->key) != this->tried.end();
    if (was_tried || this->IsHeldBackByRate(*backend) ||
        ObstacleTo(this->deps, backend, rules) != SendObstacle::kNone) {
      continue;
    }
    const double cost = this->CostOf(*backend, now_ms);
    if (best == nullptr || cost < best_cost - kEqualCostMargin) {
      best = backend;
      best_cost = cost;
      equals = 1;
    } else if (cost < best_cost + kEqualCostMargin &&
               this->deps.random() % ++equals == 0) {
      best = backend;
      best_cost = std::min(best_cost, cost);
    }
  }
  return best;
}

// A server in need gets first attempts only: a retry or a hedge would take the
// place of another caller's request.
bool CallSession::IsHeldBackByRate(const Backend& backend) const {
  if (!this->deps.permits.IsLimited(backend.key)) {
    return false;
  }
  const bool is_first = this->sent == 0 && this->attempts.empty();
  const bool was_refused =
      std::find(this->without_permit.begin(), this->without_permit.end(),
                backend.key) != this->without_permit.end();
  return !is_first || was_refused ||
         this->deps.permits.ExhaustedForMs(backend.key,
                                           UrgencyOf(this->terms)) > 0;
}

bool CallSession::HasServerInHomeRegions() const {
  return !this->terms.allowed_regions.has_value() ||
         this->deps.backends.HasServerInHomeRegions(
             this->terms.service, this->terms.allowed_regions);
}

// Reads the wall clock at the time of sending, since this host may have been
// paused after it claimed the request.
bool CallSession::HasClaimExpired() const {
  return this->terms.send_until_unix_ms > 0 &&
         this->deps.clock.WallMs() >= this->terms.send_until_unix_ms;
}

// Asked before every attempt, as time passes while a permit is awaited.
bool CallSession::EndsBeforeStop() const {
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  CallForecast forecast;
  forecast.remaining_ms = this->RemainingMs();
  forecast.target_latency_ms = this->terms.target_latency_ms;
  forecast.slowest_ms =
      this->deps.stops.Calls().Slowest(this->terms.route, now_ms);
  return this->deps.stops.Allows(now_ms, MaxCallMs(forecast));
}

// The quarantine is checked before every attempt, as earlier attempts of this
// call may have crashed their servers.
void CallSession::Send() {
  if (const auto lasts_ms = this->guarded.QuarantinedForMs()) {
    this->EndOrWait(QuarantinedError(*lasts_ms, this->may_have_run));
    return;
  }
  if (!this->EndsBeforeStop()) {
    this->EndForLackOfTime();
    return;
  }
  const Backend* const backend = this->ChooseBackend();
  LogLine line("route");
  line.Add("request", this->request.id)
      .Add("workspace", this->terms.workspace)
      .Add("route", this->terms.route)
      .Add("rule", ExecutionRuleName(this->terms.rule))
      .Add("service", this->terms.service)
      .Add("plan", this->terms.version)
      .Add("attempt", this->tried.size() + 1)
      .Add("engine", backend == nullptr ? "" : backend->key)
      .Add("left_ms", this->RemainingMs())
      .Write();
  if (backend == nullptr) {
    this->EndWithoutServer();
  } else if (this->deps.permits.IsLimited(backend->key)) {
    this->AskPermit(backend->key);
  } else {
    this->SendTo(backend->key);
  }
}

void CallSession::EndWithoutServer() {
  if (!this->HasServerInHomeRegions()) {
    this->EndOrWait(this->MakeProblem(
        ErrorId::kOutsideAllowedRegions, Outcome::kNotRun, "choose",
        "no backend server is in a region where the request may run"));
    return;
  }
  if (HeldBackMs(this->deps, this->terms, this->versions).has_value()) {
    this->EndOrWait(this->MakeProblem(
        ErrorId::kOverloaded, Outcome::kNotRun, "choose",
        "all backend servers have named a rate or asked for a backoff"));
    return;
  }
  this->EndOrWait(
      this->MakeProblem(ErrorId::kNoEngine, Outcome::kNotRun, "choose",
                        "no usable backend server of the service is left"));
}

void CallSession::AskPermit(const std::string& server) {
  this->awaits_permit = true;
  this->deps.permits.AskForCall(
      server, UrgencyOf(this->terms),
      [this, server, &permits = this->deps.permits,
       alive = this->life.Watch()](const PermitDecision& decision) {
        if (alive.expired() || this->ended) {
          if (decision.granted) {
            permits.NoteCallEnded(server);
          }
          return;
        }
        this->awaits_permit = false;
        if (decision.granted) {
          this->permitted.push_back(server);
          this->SendTo(server);
        } else {
          this->without_permit.push_back(server);
          this->Send();
        }
      });
}

void CallSession::ReleasePermit(const std::string& server) {
  if (std::erase(this->permitted, server) > 0) {
    this->deps.permits.NoteCallEnded(server);
  }
}

// What was true of the server may have changed while a permit was awaited.
void CallSession::SendTo(const std::string& server) {
  const Backend* const backend = this->deps.backends.Find(server);
  const SendObstacle obstacle = ObstacleTo(
      this->deps, backend,
      {this->terms.service, this->terms.allowed_regions, this->versions});
  if (obstacle != SendObstacle::kNone ||
      this->guarded.QuarantinedForMs().has_value()) {
    LogLine("send-held")
        .Add("request", this->request.id)
        .Add("engine", server)
        .Add("why", SendObstacleName(obstacle))
        .Write();
    this->ReleasePermit(server);
    this->Send();
    return;
  }
  const std::int64_t left_ms = this->RemainingMs();
  if (left_ms < kMinRemainingMs || this->HasClaimExpired()) {
    this->ReleasePermit(server);
    this->EndOrWait(this->MakeProblem(
        ErrorId::kDeadlinePassed, Outcome::kNotRun, "send",
        "too little time is left before the deadline to send the request"));
    return;
  }
  if (!this->EndsBeforeStop()) {
    this->ReleasePermit(server);
    this->EndForLackOfTime();
    return;
  }
  SendTerms send;
  send.address = backend->entry.address;
  send.instance = backend->entry.id;
  send.workspace = this->terms.workspace;
  send.left_ms = left_ms;
  HttpRequest http = this->deps.wire.RequestFor(this->request, send);
  http.connect_timeout_ms = kBackendConnectMs;
  http.send_once = true;
  const bool repeatable = this->terms.rule == ExecutionRule::kRepeatable;
  http.reuse_idle_ms = repeatable ? kReuseIdleMs : kReuseIdleAtMostOnceMs;
  this->tried.push_back(backend->key);
  this->deps.health.NoteAttemptStarted(backend->key);
  this->deps.arrivals.NoteSent(backend->key, this->deps.clock.MonotonicMs());
  this->attempts.push_back(std::make_unique<Attempt>(*this, *backend));
  this->attempts.back()->Start(http);
  this->ScheduleHedge();
}

// A server that hangs never answers, and a repeatable call need not wait for
// it. Either answer is valid: the first complete one is used.
void CallSession::ScheduleHedge() {
  const bool may =
      this->terms.rule == ExecutionRule::kRepeatable &&
      this->tried.size() < static_cast<std::size_t>(this->terms.max_attempts) &&
      this->terms.target_latency_ms > 0;
  if (!may) {
    return;
  }
  const std::size_t planned_at = this->tried.size();
  this->deps.scheduler.After(kHedgeDelayTargets * this->terms.target_latency_ms,
                             this->life.Guarded([this, planned_at] {
                               if (!this->ended &&
                                   this->tried.size() == planned_at &&
                                   !this->attempts.empty()) {
                                 this->SendAgain(true);
                               }
                             }));
}

//////////////////////
// Results of attempts
//////////////////////

void CallSession::Retire(Attempt& attempt) {
  const auto place = std::find_if(
      this->attempts.begin(), this->attempts.end(),
      [&attempt](const auto& one) { return one.get() == &attempt; });
  this->deps.health.NoteAttemptEnded(attempt.BackendId());
  this->ReleasePermit(attempt.BackendId());
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
    this->OnAttemptFailed(attempt);
  }
}

void CallSession::RecordAttemptEnd(const Attempt& attempt,
                                   AttemptResult result) {
  AttemptEnd end;
  end.server = attempt.BackendId();
  end.route = this->terms.route;
  end.result = result;
  end.sent_ms = attempt.SentMs();
  end.first_ms = this->deps.clock.MonotonicMs() - attempt.SentMs();
  RecordAttempt(this->deps, end);
}

void CallSession::OnAnswer(Attempt& attempt) {
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  HttpResponse& answer = attempt.Answer();
  const AnswerMeaning meaning =
      this->deps.wire.Read(answer.http_status, answer.headers);
  LogLine line("attempt-answered");
  line.Add("request", this->request.id)
      .Add("engine", attempt.BackendId())
      .Add("status", answer.http_status)
      .Add("meaning", static_cast<int>(meaning))
      .Add("took_ms", now_ms - attempt.SentMs())
      .Write();
  const AttemptVerdict verdict = JudgeAttempt({true, IsRejection(meaning)});
  if (verdict.may_try_elsewhere) {
    // A server that is full rejects requests. That does not count as a failure,
    // and another server may have room.
    if (!this->SendAgain(true)) {
      this->EndOrWait(this->MakeProblem(ErrorId::kOverloaded, verdict.outcome,
                                        "send", "the backend server is full"));
    }
    return;
  }
  this->may_have_run = true;
  if (meaning == AnswerMeaning::kRan) {
    this->guarded.NoteCompleted();
  }
  const bool failed = meaning == AnswerMeaning::kUnsigned ||
                      answer.http_status >= http_code::kFirstServerError;
  if (!failed) {
    this->guarded.NoteGoodRun(this->deps.clock.WallMs() -
                              (now_ms - attempt.SentMs()));
  }
  this->RecordAttemptEnd(
      attempt, failed ? AttemptResult::kFailed : AttemptResult::kGood);
  const bool repeatable = this->terms.rule == ExecutionRule::kRepeatable;
  if (failed && repeatable && this->SendAgain(true)) {
    return;
  }
  if (meaning == AnswerMeaning::kUnsigned) {
    this->EndOrWait(this->MakeProblem(
        ErrorId::kPeerMalformed, verdict.outcome, "read-answer",
        "the answer does not come from the chosen backend server"));
    return;
  }
  if (failed && !this->attempts.empty()) {
    return;  // the other attempt may succeed
  }
  this->End(std::move(answer));
}

void CallSession::OnAttemptFailed(Attempt& attempt) {
  const HttpCallResult& end = attempt.Ended();
  const std::int64_t now_ms = this->deps.clock.MonotonicMs();
  const bool may_have_left = end.request_may_have_left;
  const AttemptVerdict verdict = JudgeAttempt({may_have_left});
  this->RecordAttemptEnd(attempt, ResultOfFailure(end));
  LogLine("attempt-failed")
      .Add("request", this->request.id)
      .Add("engine", attempt.BackendId())
      .Add("content", this->guarded.Content())
      .Add("outcome", OutcomeName(verdict.outcome))
      .Add("took_ms", now_ms - attempt.SentMs())
      .Add("why", std::string{end.status.message()})
      .WriteImportant();
  if (may_have_left && !end.exceeded_limit) {
    this->guarded.NoteInterrupted(
        ServerUnlessLeaving(this->deps.backends, attempt.BackendId()), true);
  }
  this->may_have_run = this->may_have_run || may_have_left;
  if (!may_have_left) {
    ++this->unreachable;
    if (this->unreachable <= kMaxUnreachableAttempts &&
        this->SendAgain(false)) {
      return;
    }
  }
  const bool repeatable = this->terms.rule == ExecutionRule::kRepeatable;
  if (may_have_left && repeatable && this->SendAgain(true)) {
    return;
  }
  ErrorDetail detail = DetailOf(end.status);
  // Once an attempt may have run the request, its outcome is unknown, whatever
  // later attempts did.
  detail.outcome = this->may_have_run ? Outcome::kUnknown : verdict.outcome;
  detail.peer = attempt.BackendId();
  detail.retry_after_ms =
      detail.outcome == Outcome::kNotRun ? kNoServerRetryMs : -1;
  this->EndOrWait(
      MakeError(end.status.code(), detail, std::string{end.status.message()}));
}

// An attempt of which nothing was sent adds no load on any server, so its retry
// is not charged to the retry budget.
bool CallSession::SendAgain(bool connected) {
  if (this->ended || this->RemainingMs() < kMinRemainingMs ||
      !this->EndsBeforeStop()) {
    return false;
  }
  if (connected) {
    const RetryDecision answer =
        this->deps.budgets.BudgetFor(this->terms.service)
            .Ask({this->sent + static_cast<int>(this->attempts.size()),
                  this->deadline_ms, this->terms.max_attempts},
                 this->deps.clock.MonotonicMs(), this->deps.random());
    if (answer.verdict != RetryVerdict::kRetry) {
      LogLine("retry-refused")
          .Add("request", this->request.id)
          .Add("why", RetryVerdictName(answer.verdict))
          .WriteImportant();
      return false;
    }
  }
  if (this->ChooseBackend() == nullptr) {
    return false;
  }
  this->Send();
  return true;
}

}  // namespace meadowthread
