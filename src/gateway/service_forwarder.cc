#include "gateway/service_forwarder.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/log_line.h"
#include "claims/claim_key.h"
#include "gateway/claim_log.h"
#include "net/problem.h"

namespace meadowthread {
namespace {

// A longer answer is not kept for retries: a claim's log holds many of them.
constexpr std::size_t kMaxRecordedBytes = std::size_t{512} * 1024;
// Backend servers that one call may be sent to: the services of today have
// three each.
constexpr int kMaxAttempts = 3;

// Methods that HTTP itself declares idempotent.
constexpr std::array<std::string_view, 5> kIdempotentMethods = {
    "GET", "HEAD", "OPTIONS", "PUT", "DELETE"};

bool IsIdempotent(std::string_view method) {
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                   method) != kIdempotentMethods.end();
}

std::string TargetOf(const ServiceCall& call) {
  return absl::StrCat(call.path, call.query.empty() ? "" : "?", call.query);
}

RelayRequest RequestOf(const ServiceCall& call, std::int64_t begun_ms) {
  RelayRequest request;
  request.id = call.request;
  request.method = call.method;
  request.target = TargetOf(call);
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

absl::Status KeyMissing() {
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

struct ServiceForwarder::Pending {
  std::string id;
  RelayRequest request;  ///< the session's from its begin on
  RelayTerms terms;
  std::unique_ptr<ResponseWriter> writer;
  std::function<void()> ended;
  bool keyed = false;
  std::optional<ClaimGrant> grant;
  std::unique_ptr<CallSession> session;  ///< null until it may be sent
};

ServiceForwarder::ServiceForwarder(const ForwarderParts& parts)
    : parts(parts) {}

ServiceForwarder::~ServiceForwarder() = default;

void ServiceForwarder::Forward(const ServiceCall& call,
                               std::unique_ptr<ResponseWriter> writer,
                               std::function<void()> ended) {
  const CallRule rule = this->parts.catalog.RuleOf(call.workspace, call.service,
                                                   call.method, call.path);
  const std::uint64_t number = ++this->last_number;
  auto added = std::make_unique<Pending>();
  added->id = call.request;
  added->request = RequestOf(call, this->parts.relay.clock.MonotonicMs());
  added->terms.route = call.service;
  added->terms.service = call.service;
  added->terms.workspace = call.workspace;
  added->terms.timeout_ms = this->parts.timeout_ms;
  added->terms.max_attempts = kMaxAttempts;
  added->terms.rule = !rule.needs_key && IsIdempotent(call.method)
                          ? ExecutionRule::kRepeatable
                          : ExecutionRule::kOnce;
  added->writer = std::move(writer);
  added->writer->OnClosed([this, number] { this->OnCallerGone(number); });
  added->ended = std::move(ended);
  added->keyed = rule.needs_key;
  this->pending.emplace(number, std::move(added));
  if (!rule.needs_key) {
    this->Send(number);
  } else if (call.idempotency_key.empty()) {
    this->Fail(number, KeyMissing());
  } else {
    this->Claim(number, call, rule.key_form);
  }
}

ServiceForwarder::Pending* ServiceForwarder::Find(std::uint64_t number) {
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
      this->parts.relay.clock.WallMs() + this->parts.timeout_ms;
  this->parts.claims.Claim(
      request, this->life.Guarded(
                   [this, number](const absl::StatusOr<ClaimAnswer>& answer) {
                     this->OnClaimed(number, answer);
                   }));
}

void ServiceForwarder::OnClaimed(std::uint64_t number,
                                 const absl::StatusOr<ClaimAnswer>& answer) {
  Pending* const call = this->Find(number);
  if (call == nullptr) {
    return;
  }
  if (!answer.ok()) {
    this->Fail(number, answer.status());
    return;
  }
  if (const auto* recorded = std::get_if<ClaimResult>(&*answer)) {
    this->PassOn(number, *recorded);
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
  Pending& call = *this->Find(number);
  call.session = std::make_unique<CallSession>(
      this->parts.relay, std::move(call.request), call.terms,
      [this, number](const absl::StatusOr<HttpResponse>& result) {
        this->OnDone(number, result);
      });
  call.session->Begin();
}

void ServiceForwarder::OnDone(std::uint64_t number,
                              const absl::StatusOr<HttpResponse>& result) {
  Pending& call = *this->Find(number);
  if (!result.ok()) {
    const Outcome outcome = DetailOf(result.status()).outcome;
    if (call.grant.has_value() && outcome == Outcome::kNotRun) {
      this->parts.claims.Release(*call.grant,
                                 LogClaimFailure("release", call.id));
    }
    this->Fail(number, result.status());
    return;
  }
  const ClaimResult answer = {
      result->http_status,
      std::string(FindHeader(result->headers, "Content-Type")), result->body};
  if (call.grant.has_value() && answer.body.size() <= kMaxRecordedBytes) {
    this->parts.claims.RecordResult(*call.grant, answer,
                                    LogClaimFailure("record", call.id));
  }
  this->PassOn(number, answer);
}

// A call under a claim runs on, so that its caller's retry gets the result.
void ServiceForwarder::OnCallerGone(std::uint64_t number) {
  Pending* const call = this->Find(number);
  if (call == nullptr || call->keyed) {
    return;
  }
  if (call->session != nullptr) {
    call->session->Abandon();
  }
  this->Drop(number);
}

void ServiceForwarder::PassOn(std::uint64_t number, const ClaimResult& answer) {
  Pending& call = *this->Find(number);
  WholeResponse response;
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
  this->Drop(number);
}

void ServiceForwarder::Fail(std::uint64_t number, const absl::Status& status) {
  Pending& call = *this->Find(number);
  Problem problem;
  problem.status = status;
  problem.request = call.id;
  call.writer->SendWhole(ProblemResponse(problem));
  if (call.session == nullptr) {
    // Never sent, so no session tells of it.
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
  this->Drop(number);
}

void ServiceForwarder::Drop(std::uint64_t number) {
  const auto found = this->pending.find(number);
  const std::function<void()> told = std::move(found->second->ended);
  if (this->over.empty()) {
    this->parts.relay.scheduler.After(
        0, this->life.Guarded([this] { this->over.clear(); }));
  }
  this->over.push_back(std::move(found->second));
  this->pending.erase(found);
  told();
}

}  // namespace meadowthread
