#include "gateway/service_forwarder.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "base/log_line.h"
#include "claims/claim_key.h"
#include "net/problem.h"

namespace meadowthread {
namespace {

constexpr std::size_t kMaxAnswerBytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t kMaxRecordedBytes = std::size_t{512} * 1024;
constexpr int kMaxAttempts = 3;

// Methods that HTTP itself declares idempotent.
constexpr std::array<std::string_view, 5> kIdempotentMethods = {
    "GET", "HEAD", "OPTIONS", "PUT", "DELETE"};

absl::Status CallError(ErrorId id, Outcome outcome, std::string_view peer,
                       std::string_view what) {
  ErrorDetail detail;
  detail.id = id;
  detail.outcome = outcome;
  detail.step = "forward";
  detail.peer = std::string(peer);
  return MakeError(absl::StatusCode::kUnavailable, detail, what);
}

}  // namespace

struct ServiceForwarder::Pending {
  ServiceCall call;
  std::unique_ptr<ResponseWriter> writer;
  std::function<void()> ended;
  std::optional<KeyForm> key_form;
  std::optional<ClaimGrant> grant;
  std::vector<std::string> tried;
  std::int64_t deadline_unix_ms = 0;
};

void ServiceForwarder::Forward(const ServiceCall& call,
                               std::unique_ptr<ResponseWriter> writer,
                               std::function<void()> ended) {
  auto pending = std::make_shared<Pending>();
  pending->call = call;
  pending->writer = std::move(writer);
  pending->ended = std::move(ended);
  const CallRule rule = this->parts.catalog.RuleOf(call.workspace, call.service,
                                                   call.method, call.path);
  if (rule.needs_key) {
    pending->key_form = rule.key_form;
  }
  pending->deadline_unix_ms =
      this->parts.clock.WallMs() + this->parts.timeout_ms;
  ++this->running;
  if (!pending->key_form.has_value()) {
    this->parts.retries.NoteFirstAttempt();
    this->Send(pending);
    return;
  }
  if (call.idempotency_key.empty()) {
    ErrorDetail detail;
    detail.id = ErrorId::kIdempotencyKeyMissing;
    detail.outcome = Outcome::kNotRun;
    detail.step = "forward";
    detail.field = "Idempotency-Key";
    this->Fail(*pending, MakeError(absl::StatusCode::kInvalidArgument, detail,
                                   "this call may not be repeated: it needs an "
                                   "Idempotency-Key"));
    return;
  }
  this->Claim(pending);
}

void ServiceForwarder::Claim(const std::shared_ptr<Pending>& pending) {
  const ServiceCall& call = pending->call;
  ClaimRequest request;
  request.workspace = call.workspace;
  request.key = call.idempotency_key;
  request.key_form = *pending->key_form;
  request.body_digest =
      BodyDigest(absl::StrCat(call.method, "\n", call.service, "\n", call.path,
                              "\n", call.query, "\n", call.body));
  request.deadline_unix_ms = pending->deadline_unix_ms;
  this->parts.claims.Claim(
      request, [this, pending](const absl::StatusOr<ClaimAnswer>& answer) {
        this->OnClaimed(pending, answer);
      });
}

void ServiceForwarder::OnClaimed(const std::shared_ptr<Pending>& pending,
                                 const absl::StatusOr<ClaimAnswer>& answer) {
  if (!answer.ok()) {
    this->Fail(*pending, answer.status());
    return;
  }
  if (const auto* recorded = std::get_if<ClaimResult>(&*answer)) {
    this->PassOn(*pending, {recorded->status,
                            {{"Content-Type", recorded->content_type}},
                            recorded->body});
    return;
  }
  pending->grant = std::get<ClaimGrant>(*answer);
  this->parts.retries.NoteFirstAttempt();
  this->Send(pending);
}

// The better of two random ones by calls of our own in progress, none twice.
const HostEntry* ServiceForwarder::Choose(const Pending& pending) {
  std::vector<const HostEntry*> left =
      this->parts.hosts.OfService(pending.call.service);
  std::erase_if(left, [&pending](const HostEntry* entry) {
    return std::find(pending.tried.begin(), pending.tried.end(), entry->name) !=
           pending.tried.end();
  });
  if (left.empty()) {
    return nullptr;
  }
  const HostEntry* first = left[this->parts.random() % left.size()];
  const HostEntry* second = left[this->parts.random() % left.size()];
  return this->in_flight[second->name] < this->in_flight[first->name] ? second
                                                                      : first;
}

HttpRequest ServiceForwarder::MakeRequest(const Pending& pending,
                                          const HostEntry& backend) const {
  const ServiceCall& call = pending.call;
  HttpRequest request;
  request.method = call.method;
  request.url = absl::StrCat(backend.BaseUrl(), call.path,
                             call.query.empty() ? "" : "?", call.query);
  if (!call.content_type.empty()) {
    request.headers.push_back({"Content-Type", call.content_type});
  }
  if (!call.idempotency_key.empty()) {
    request.headers.push_back({"Idempotency-Key", call.idempotency_key});
  }
  request.headers.push_back({"Meadowthread-Request", call.request});
  request.body = call.body;
  request.total_timeout_ms = this->parts.timeout_ms;
  request.send_once = true;
  request.reuse_idle_ms = 0;
  return request;
}

void ServiceForwarder::Send(const std::shared_ptr<Pending>& pending) {
  const HostEntry* backend = this->Choose(*pending);
  LogLine line("route");
  line.Add("request", pending->call.request)
      .Add("workspace", pending->call.workspace)
      .Add("service", pending->call.service)
      .Add("attempt", pending->tried.size() + 1)
      .Add("engine", backend == nullptr ? "" : backend->name)
      .Add("why", backend == nullptr ? "none_left" : "fewest_of_two")
      .Write();
  if (backend == nullptr) {
    if (pending->grant.has_value()) {
      this->parts.claims.Release(*pending->grant, [](const absl::Status&) {});
    }
    this->Fail(*pending, CallError(ErrorId::kNoEngine, Outcome::kNotRun,
                                   pending->call.service,
                                   "no backend server of the service is left"));
    return;
  }
  if (pending->grant.has_value() &&
      !pending->grant->MaySend(this->parts.clock.WallMs())) {
    this->parts.claims.Release(*pending->grant, [](const absl::Status&) {});
    this->Fail(*pending,
               CallError(ErrorId::kDeadlinePassed, Outcome::kNotRun, "",
                         "the deadline passed before the call was sent"));
    return;
  }
  const std::string name = backend->name;
  pending->tried.push_back(name);
  ++this->in_flight[name];
  Fetch(this->parts.client, this->MakeRequest(*pending, *backend),
        kMaxAnswerBytes, [this, pending, name](const HttpFetched& fetched) {
          this->OnAnswer(pending, name, fetched);
        });
}

void ServiceForwarder::OnAnswer(const std::shared_ptr<Pending>& pending,
                                const std::string& backend,
                                const HttpFetched& fetched) {
  --this->in_flight[backend];
  if (fetched.end.status.ok()) {
    this->PassOn(*pending, fetched.response);
    return;
  }
  const Outcome outcome =
      fetched.end.request_may_have_left ? Outcome::kUnknown : Outcome::kNotRun;
  ErrorDetail detail = DetailOf(fetched.end.status);
  detail.outcome = outcome;
  detail.peer = backend;
  this->TryAgainOrFail(pending,
                       MakeError(fetched.end.status.code(), detail,
                                 std::string{fetched.end.status.message()}),
                       outcome);
}

void ServiceForwarder::TryAgainOrFail(const std::shared_ptr<Pending>& pending,
                                      const absl::Status& cause,
                                      Outcome outcome) {
  const bool idempotent =
      !pending->key_form.has_value() &&
      std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                pending->call.method) != kIdempotentMethods.end();
  const bool allowed = outcome == Outcome::kNotRun || idempotent;
  const int attempts = static_cast<int>(pending->tried.size());
  const bool may =
      allowed && attempts < kMaxAttempts &&
      this->parts.retries
              .Ask({attempts, pending->deadline_unix_ms},
                   this->parts.clock.WallMs(), this->parts.random())
              .verdict == RetryVerdict::kRetry;
  if (may) {
    this->Send(pending);
    return;
  }
  if (outcome == Outcome::kNotRun && pending->grant.has_value()) {
    this->parts.claims.Release(*pending->grant, [](const absl::Status&) {});
  }
  this->Fail(*pending, cause);
}

void ServiceForwarder::PassOn(Pending& pending, const HttpResponse& response) {
  --this->running;
  pending.ended();
  WholeResponse answer;
  answer.http_status = response.http_status;
  answer.content_type =
      std::string(FindHeader(response.headers, "Content-Type"));
  answer.headers = {{"Meadowthread-Request", pending.call.request}};
  answer.body = response.body;
  pending.writer->SendWhole(answer);
  pending.writer.reset();
  if (pending.grant.has_value() && answer.body.size() <= kMaxRecordedBytes) {
    this->parts.claims.RecordResult(
        *pending.grant, {answer.http_status, answer.content_type, answer.body},
        [](const absl::Status&) {});
  }
  LogLine line("end");
  line.Add("request", pending.call.request)
      .Add("workspace", pending.call.workspace)
      .Add("service", pending.call.service)
      .Add("outcome", "complete")
      .Add("status", answer.http_status)
      .Write();
}

void ServiceForwarder::Fail(Pending& pending, const absl::Status& status) {
  --this->running;
  pending.ended();
  Problem problem;
  problem.status = status;
  problem.request = pending.call.request;
  pending.writer->SendWhole(ProblemResponse(problem));
  pending.writer.reset();
  const ErrorDetail detail = DetailOf(status);
  LogLine line("end");
  line.Add("request", pending.call.request)
      .Add("workspace", pending.call.workspace)
      .Add("service", pending.call.service)
      .Add("outcome", OutcomeName(detail.outcome))
      .Add("code", static_cast<int>(detail.id))
      .Write();
}

}  // namespace meadowthread
