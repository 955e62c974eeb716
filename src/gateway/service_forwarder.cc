#include "gateway/service_forwarder.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/log_line.h"
#include "claims/claim_key.h"
#include "gateway/claim_failure_log.h"
#include "net/problem.h"

namespace meadowthread {
namespace {

// Longer answers are not recorded for retries. The claim log holds many answers
// and has to stay small.
constexpr std::size_t kMaxRecordedBytes = std::size_t{512} * 1024;
// Maximum number of backend servers that one call is sent to. Services
// currently have three servers each.
constexpr int kMaxAttempts = 3;

// Methods that are idempotent by the HTTP specification.
constexpr std::array<std::string_view, 5> kIdempotentMethods = {
    "GET", "HEAD", "OPTIONS", "PUT", "DELETE"};

bool IsIdempotent(std::string_view method) {
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                   method) != kIdempotentMethods.end();
}

std::string RequestTarget(const ServiceCall& call) {
  return absl::StrCat(call.path, call.query.empty() ? "" : "?", call.query);
}

RelayRequest MakeRelayRequest(const ServiceCall& call, std::int64_t begun_ms) {
  RelayRequest request;
  request.id = call.request;
  request.method = call.method;
  request.target = RequestTarget(call);
  request.path = call.path;
  request.body = call.body;
  request.begun_ms = begun_ms;
  if (!call.content_type.empty()) {
    request.headers.push_back({"Content-Type", call.content_type});
  }
  if (!call.idempotency_key.empty()) {
    request.headers.push_back({"Idempotency-Key", call.idempotency_key});
  }
  return request;
}

absl::Status MissingKeyError() {
  ErrorDetail detail;
  detail.id = ErrorId::kIdempotencyKeyMissing;
  detail.outcome = Outcome::kNotRun;
  detail.step = "forward";
  detail.field = "Idempotency-Key";
  return MakeError(
      absl::StatusCode::kInvalidArgument, detail,
      "this call may not be repeated: it needs an Idempotency-Key");
}

}  // namespace

struct ServiceForwarder::PendingCall {
  std::string id;
  RelayRequest request;  ///< moved into the session by Send()
  RelayTerms terms;
  std::unique_ptr<ResponseWriter> writer;
  std::function<void()> ended;
  bool needs_claim = false;
  std::optional<ClaimGrant> grant;
  std::unique_ptr<CallSession> session;  ///< null until Send()
};

ServiceForwarder::ServiceForwarder(const ForwarderDependencies& deps)
    : deps(deps) {}

ServiceForwarder::~ServiceForwarder() = default;

void ServiceForwarder::Forward(const ServiceCall& call,
                               std::unique_ptr<ResponseWriter> writer,
                               std::function<void()> ended) {
  const RepeatRule rule = this->deps.catalog.RepeatRuleFor(
      call.workspace, call.service, call.method, call.path);
  const std::uint64_t number = ++this->last_number;
  auto added = std::make_unique<PendingCall>();
  added->id = call.request;
  added->request = MakeRelayRequest(call, this->deps.relay.clock.MonotonicMs());
  added->terms.route = call.service;
  added->terms.service = call.service;
  added->terms.workspace = call.workspace;
  added->terms.timeout_ms = this->deps.timeout_ms;
  added->terms.max_attempts = kMaxAttempts;
  added->terms.rule = !rule.needs_key && IsIdempotent(call.method)
                          ? ExecutionRule::kRepeatable
                          : ExecutionRule::kOnce;
  added->writer = std::move(writer);
  added->writer->OnClosed([this, number] { this->OnCallerGone(number); });
  added->ended = std::move(ended);
  added->needs_claim = rule.needs_key;
  this->pending.emplace(number, std::move(added));
  if (!rule.needs_key) {
    this->Send(number);
  } else if (call.idempotency_key.empty()) {
    this->Fail(number, MissingKeyError());
  } else {
    this->Claim(number, call, rule.key_form);
  }
}

ServiceForwarder::PendingCall* ServiceForwarder::Find(std::uint64_t number) {
  const auto found = this->pending.find(number);
  return found == this->pending.end() ? nullptr : found->second.get();
}

/////////////
// Claiming
/////////////

void ServiceForwarder::Claim(std::uint64_t number, const ServiceCall& call,
                             KeyForm form) {
  ClaimRequest request;
  request.workspace = call.workspace;
  request.key = call.idempotency_key;
  request.key_form = form;
  request.body_digest =
      Sha256Of(absl::StrCat(call.method, "\n", call.service, "\n", call.path,
                            "\n", call.query, "\n", call.body));
  request.deadline_unix_ms =
      this->deps.relay.clock.WallMs() + this->deps.timeout_ms;
  this->deps.claims.Claim(
      request, this->life.Guarded(
                   [this, number](const absl::StatusOr<ClaimAnswer>& answer) {
                     this->OnClaimed(number, answer);
                   }));
}

void ServiceForwarder::OnClaimed(std::uint64_t number,
                                 const absl::StatusOr<ClaimAnswer>& answer) {
  PendingCall* const call = this->Find(number);
  if (call == nullptr) {
    return;
  }
  if (!answer.ok()) {
    this->Fail(number, answer.status());
    return;
  }
  if (const auto* recorded = std::get_if<ClaimResult>(&*answer)) {
    this->SendResult(number, *recorded);
    return;
  }
  call->grant = std::get<ClaimGrant>(*answer);
  call->terms.send_until_unix_ms = call->grant->deadline_unix_ms;
  this->Send(number);
}

//////////////////////
// Sending and ending
//////////////////////

void ServiceForwarder::Send(std::uint64_t number) {
  PendingCall& call = *this->Find(number);
  call.session = std::make_unique<CallSession>(
      this->deps.relay, std::move(call.request), call.terms,
      [this, number](const absl::StatusOr<HttpResponse>& result) {
        this->OnDone(number, result);
      });
  call.session->Begin();
}

void ServiceForwarder::OnDone(std::uint64_t number,
                              const absl::StatusOr<HttpResponse>& result) {
  PendingCall& call = *this->Find(number);
  if (!result.ok()) {
    const Outcome outcome = DetailOf(result.status()).outcome;
    if (call.grant.has_value() && outcome == Outcome::kNotRun) {
      this->deps.claims.Release(*call.grant,
                                LogClaimFailure("release", call.id));
    }
    this->Fail(number, result.status());
    return;
  }
  const ClaimResult answer = {
      result->http_status,
      std::string(FindHeader(result->headers, "Content-Type")), result->body};
  if (call.grant.has_value() && answer.body.size() <= kMaxRecordedBytes) {
    this->deps.claims.RecordResult(*call.grant, answer,
                                   LogClaimFailure("record", call.id));
  }
  this->SendResult(number, answer);
}

// A call with a claim keeps running, so that the caller's retry gets the
// result.
void ServiceForwarder::OnCallerGone(std::uint64_t number) {
  PendingCall* const call = this->Find(number);
  if (call == nullptr || call->needs_claim) {
    return;
  }
  if (call->session != nullptr) {
    call->session->Abandon();
  }
  this->EndCall(number);
}

void ServiceForwarder::SendResult(std::uint64_t number,
                                  const ClaimResult& answer) {
  PendingCall& call = *this->Find(number);
  ServerResponse response;
  response.http_status = answer.status;
  response.content_type = answer.content_type;
  response.headers = {{"Meadowthread-Request", call.id}};
  response.body = answer.body;
  call.writer->SendWhole(response);
  if (call.session == nullptr) {
    LogLine("replay")
        .Add("request", call.id)
        .Add("workspace", call.terms.workspace)
        .Add("service", call.terms.service)
        .Add("status", answer.status)
        .Write();
  }
  this->EndCall(number);
}

void ServiceForwarder::Fail(std::uint64_t number, const absl::Status& status) {
  PendingCall& call = *this->Find(number);
  Problem problem;
  problem.status = status;
  problem.request = call.id;
  call.writer->SendWhole(ProblemResponse(problem));
  if (call.session == nullptr) {
    // The call was never sent, so no session has logged its failure.
    const ErrorDetail detail = DetailOf(status);
    LogLine("refused")
        .Add("request", call.id)
        .Add("workspace", call.terms.workspace)
        .Add("service", call.terms.service)
        .Add("outcome", OutcomeName(detail.outcome))
        .Add("code", static_cast<int>(detail.id))
        .Add("step", detail.step)
        .WriteImportant();
  }
  this->EndCall(number);
}

void ServiceForwarder::EndCall(std::uint64_t number) {
  const auto found = this->pending.find(number);
  const std::function<void()> on_ended = std::move(found->second->ended);
  if (this->finished.empty()) {
    this->deps.relay.scheduler.After(
        0, this->life.Guarded([this] { this->finished.clear(); }));
  }
  this->finished.push_back(std::move(found->second));
  this->pending.erase(found);
  on_ended();
}

}  // namespace meadowthread
