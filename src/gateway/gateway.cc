#include "gateway/gateway.h"

#include <QUuid>
#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/absl_view.h"
#include "base/log_line.h"
#include "claims/claim_key.h"
#include "gateway/prompt_estimate.h"
#include "net/http_code.h"
#include "nlohmann/json.hpp"

namespace meadowthread {
namespace {

constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::int64_t kDefaultMaxOutputTokens = 65'536;
constexpr std::int64_t kDefaultDeadlineMs = 120'000;
constexpr std::int64_t kFullHostRetryMs = 1000;

std::string NewRequestId() {
  return absl::StrCat(
      "r-", QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString());
}

absl::Status RequestError(ErrorId id, std::string_view step,
                          std::string_view field, std::string_view what) {
  ErrorDetail detail;
  detail.id = id;
  detail.outcome = Outcome::kNotRun;
  detail.step = std::string(step);
  detail.field = std::string(field);
  return MakeError(absl::StatusCode::kInvalidArgument, detail, what);
}

void SendProblem(ResponseWriter& writer, const absl::Status& status,
                 const std::string& request) {
  Problem problem;
  problem.status = status;
  problem.request = request;
  writer.SendWhole(ProblemResponse(problem));
  const ErrorDetail detail = DetailOf(status);
  LogLine line("refuse");
  line.Add("request", request)
      .Add("code", static_cast<int>(detail.id))
      .Add("step", detail.step)
      .Add("outcome", OutcomeName(detail.outcome))
      .Add("why", std::string{status.message()})
      .Write();
}

bool NeedsClaim(const WorkspaceService& service, std::string_view key) {
  switch (service.not_repeatable.requests) {
    case GenerationClaims::kNone:
      return false;
    case GenerationClaims::kKeyed:
      return !key.empty();
    case GenerationClaims::kAll:
      return true;
  }
  return true;
}

ServedModel FindModel(const WorkspaceService& service, std::string_view name) {
  for (const ServedModel& model : service.models) {
    if (model.model == name) {
      return model;
    }
  }
  return {};
}

std::int64_t CapOutputTokens(std::int64_t requested, std::int64_t allowed) {
  const std::int64_t limit = allowed > 0 ? allowed : kDefaultMaxOutputTokens;
  return requested > 0 ? std::min(requested, limit) : limit;
}

}  // namespace

/// @brief A request while it is being checked.
struct Gateway::IncomingRequest {
  SessionStart start;
  ServiceCatalog::ServicePtr service;
};

Gateway::Gateway(const GatewayDependencies& deps) : deps(deps) {
  this->deps.session.observer = this;
}

Gateway::~Gateway() = default;

//////////
// Paths
//////////

void Gateway::Serve(const ServerRequest& request,
                    std::unique_ptr<ResponseWriter> writer) {
  const std::string& path = request.path;
  if (path == "/v1/chat/completions" && request.method == "POST") {
    this->ServeGeneration(CompletionApi::kChat, request, std::move(writer));
  } else if (path == "/v1/completions" && request.method == "POST") {
    this->ServeGeneration(CompletionApi::kCompletion, request,
                          std::move(writer));
  } else if (path == "/v1/answers/resume" && request.method == "GET") {
    this->ServeResume(request, std::move(writer));
  } else if (path == "/v1/models" && request.method == "GET") {
    this->ServeModels(request, std::move(writer));
  } else if (absl::StartsWith(path, AbslView(kServicesPrefix))) {
    this->ServePlainService(request, std::move(writer));
  } else if (path == "/healthz") {
    writer->SendWhole({http_code::kOk, "text/plain", {}, "ok\n"});
  } else if (path == "/readyz") {
    const absl::Status ready = this->deps.gate.MayTakeWork();
    writer->SendWhole(
        {ready.ok() ? http_code::kOk : http_code::kUnavailable,
         "text/plain",
         {},
         ready.ok() ? "ready\n" : absl::StrCat(ready.message(), "\n")});
  } else if (path == "/metrics") {
    writer->SendWhole({http_code::kOk,
                       "text/plain; version=0.0.4",
                       {},
                       this->deps.metrics_text()});
  } else if (path == "/statusz") {
    writer->SendWhole(
        {http_code::kOk, "application/json", {}, this->deps.status_json()});
  } else {
    SendProblem(*writer,
                RequestError(ErrorId::kNotFound, "route", "",
                             absl::StrCat("nothing is served at ",
                                          request.method, " ", path)),
                "");
  }
}

// A host that has not read its configuration knows no key. That says nothing
// about the caller's.
absl::StatusOr<CallerIdentity> Gateway::Authenticate(
    const ServerRequest& request) const {
  absl::StatusOr<CallerIdentity> caller =
      AuthenticateCaller(request, this->deps.catalog);
  const bool has_key = !FindHeader(request.headers, "Authorization").empty();
  if (caller.ok() || !has_key) {
    return caller;
  }
  const absl::Status ready = this->deps.gate.MayTakeWork();
  const bool is_early =
      !ready.ok() && DetailOf(ready).id == ErrorId::kHostNotReady;
  return is_early ? ready : caller;
}

void Gateway::ServeModels(const ServerRequest& request,
                          std::unique_ptr<ResponseWriter> writer) {
  const absl::StatusOr<CallerIdentity> caller = this->Authenticate(request);
  if (!caller.ok()) {
    SendProblem(*writer, caller.status(), "");
    return;
  }
  nlohmann::json models = nlohmann::json::array();
  for (const ServiceCatalog::ServicePtr& service :
       this->deps.catalog.ServicesOf(caller->workspace)) {
    for (const ServedModel& model : service->models) {
      models.push_back({{"id", model.model},
                        {"object", "model"},
                        {"created", 0},
                        {"owned_by", caller->workspace},
                        {"adapter", model.adapter},
                        {"version", model.version}});
    }
  }
  writer->SendWhole(
      {http_code::kOk,
       "application/json",
       {},
       nlohmann::json{{"object", "list"}, {"data", models}}.dump()});
}

void Gateway::ServePlainService(const ServerRequest& request,
                                std::unique_ptr<ResponseWriter> writer) {
  const absl::StatusOr<CallerIdentity> caller = this->Authenticate(request);
  absl::Status status = caller.status();
  if (status.ok()) {
    status = this->deps.gate.MayTakeWork();
  }
  if (status.ok()) {
    status = this->deps.gate.BeginWork(caller->workspace);
  }
  const std::string id = NewRequestId();
  writer->SetRequestId(id);
  if (!status.ok()) {
    SendProblem(*writer, status, id);
    return;
  }
  std::string_view rest = request.path;
  rest.remove_prefix(kServicesPrefix.size());
  ServiceCall call;
  call.request = id;
  call.workspace = caller->workspace;
  call.service = std::string(rest.substr(0, rest.find('/')));
  call.path = rest.size() > call.service.size()
                  ? std::string(rest.substr(call.service.size()))
                  : "/";
  call.query = request.query;
  call.method = request.method;
  call.content_type = std::string(FindHeader(request.headers, "Content-Type"));
  call.idempotency_key =
      std::string(FindHeader(request.headers, "Idempotency-Key"));
  call.body = request.body;
  WorkGate* gate = &this->deps.gate;
  this->deps.forwarder.Forward(
      call, std::move(writer),
      [gate, workspace = call.workspace] { gate->EndWork(workspace); });
}

////////////////
// Generations
////////////////

void Gateway::ServeGeneration(CompletionApi api, const ServerRequest& request,
                              std::unique_ptr<ResponseWriter> writer) {
  IncomingRequest incoming;
  incoming.start.request = NewRequestId();
  writer->SetRequestId(incoming.start.request);
  incoming.start.arrived_ms = this->deps.session.clock.WallMs();
  absl::Status status = this->CheckRequest(api, request, &incoming);
  if (status.ok()) {
    status = this->AdmitWithinLimits(&incoming.start);
  }
  if (status.ok()) {
    status = this->BeginWork(incoming.start);
  }
  if (!status.ok()) {
    SendProblem(*writer, status, incoming.start.request);
    return;
  }
  DeliveryMode mode = DeliveryMode::kJson;
  if (incoming.start.caller_request.stream) {
    mode = incoming.start.parameters.whole_delivery
               ? DeliveryMode::kBufferedStream
               : DeliveryMode::kStreamed;
  }
  this->AddSession(incoming.start, std::move(writer), mode).Begin();
}

absl::Status Gateway::CheckRequest(CompletionApi api,
                                   const ServerRequest& request,
                                   IncomingRequest* incoming) const {
  const absl::StatusOr<CallerIdentity> caller = this->Authenticate(request);
  if (!caller.ok()) {
    return caller.status();
  }
  absl::Status ready = this->deps.gate.MayTakeWork();
  if (!ready.ok()) {
    return ready;
  }
  const absl::StatusOr<CallerRequest> parsed =
      ParseCallerRequest(api, request.body);
  if (!parsed.ok()) {
    return parsed.status();
  }
  incoming->start.caller_request = *parsed;
  incoming->start.caller = caller->caller;
  incoming->service = this->deps.catalog.Find(caller->workspace, parsed->model);
  if (incoming->service == nullptr) {
    return RequestError(
        ErrorId::kUnknownModel, "route", "model",
        absl::StrCat("model '", parsed->model, "' is not served to workspace '",
                     caller->workspace, "'"));
  }
  return this->ResolveParameters(request, incoming);
}

absl::Status Gateway::ResolveParameters(const ServerRequest& request,
                                        IncomingRequest* incoming) const {
  const WorkspaceService& service = *incoming->service;
  SessionStart& start = incoming->start;
  const std::string_view key = FindHeader(request.headers, "Idempotency-Key");
  GenerationParameters& parameters = start.parameters;
  parameters.workspace = service.workspace;
  parameters.template_name = service.template_name;
  parameters.template_version = service.template_version;
  parameters.model = FindModel(service, start.caller_request.model);
  parameters.urgency = service.urgency;
  parameters.max_output_tokens = CapOutputTokens(
      start.caller_request.max_tokens, service.limits.max_output_tokens);
  parameters.deadline_ms = service.limits.deadline_ms > 0
                               ? service.limits.deadline_ms
                               : kDefaultDeadlineMs;
  parameters.whole_delivery = service.delivery == Delivery::kWhole;
  parameters.at_most_once = NeedsClaim(service, key);
  parameters.key_form = service.not_repeatable.key_form;
  start.idempotency_key = std::string(key);
  if (parameters.at_most_once) {
    start.body_digest = Sha256Of(request.body);
  }
  if (parameters.at_most_once && key.empty()) {
    return RequestError(
        ErrorId::kIdempotencyKeyMissing, "route", "Idempotency-Key",
        "this workspace's requests may not be repeated: they need "
        "an Idempotency-Key");
  }
  const std::int64_t prompt_tokens =
      EstimateTokens(start.caller_request.prompt);
  if (service.limits.max_prompt_tokens > 0 &&
      prompt_tokens > service.limits.max_prompt_tokens) {
    return RequestError(ErrorId::kFieldInvalid, "route",
                        start.caller_request.api == CompletionApi::kChat
                            ? "messages"
                            : "prompt",
                        absl::StrCat("the prompt has about ", prompt_tokens,
                                     " tokens; the workspace's limit is ",
                                     service.limits.max_prompt_tokens));
  }
  start.expected_tokens = prompt_tokens;
  return absl::OkStatus();
}

absl::Status Gateway::AdmitWithinLimits(SessionStart* start) {
  ErrorDetail detail;
  detail.outcome = Outcome::kNotRun;
  detail.step = "admit";
  const std::uint64_t random = this->deps.session.random();
  if (this->sessions.size() >= this->deps.max_streams) {
    detail.id = ErrorId::kOverloaded;
    detail.retry_after_ms =
        kFullHostRetryMs + static_cast<std::int64_t>(random % kFullHostRetryMs);
    return MakeError(absl::StatusCode::kResourceExhausted, detail,
                     "this host has reached its limit of concurrent streams");
  }
  const LimitDecision answer = this->deps.session.limits.Admit(
      start->parameters.workspace, start->expected_tokens, start->arrived_ms,
      random);
  if (answer.reached == LimitReached::kNone) {
    return absl::OkStatus();
  }
  detail.id = ErrorId::kWorkspaceLimit;
  detail.retry_after_ms = answer.retry_after_ms;
  return MakeError(absl::StatusCode::kResourceExhausted, detail,
                   absl::StrCat("the workspace's limit is reached: ",
                                std::string(LimitReachedName(answer.reached))));
}

absl::Status Gateway::BeginWork(const SessionStart& start) {
  absl::Status status = this->deps.gate.BeginWork(start.parameters.workspace);
  if (!status.ok()) {
    this->deps.session.limits.Ended(start.parameters.workspace,
                                    start.expected_tokens, 0);
  }
  return status;
}

// The resume token names the engine that generates the answer. Verify() checks
// that the token belongs to this caller.
void Gateway::ServeResume(const ServerRequest& request,
                          std::unique_ptr<ResponseWriter> writer) {
  const absl::StatusOr<CallerIdentity> caller = this->Authenticate(request);
  if (!caller.ok()) {
    SendProblem(*writer, caller.status(), "");
    return;
  }
  const absl::StatusOr<ResumeTokenClaims> claims =
      this->deps.session.tokens.Verify(
          FindHeader(request.headers, "Meadowthread-Resume-Token"),
          caller->workspace, caller->caller, this->deps.session.clock.WallMs());
  if (!claims.ok()) {
    SendProblem(*writer, claims.status(), "");
    return;
  }
  writer->SetRequestId(claims->request);
  const std::string last(FindHeader(request.headers, "Last-Event-ID"));
  std::int64_t last_index = -1;
  if (!last.empty() &&
      (!absl::SimpleAtoi(last, &last_index) || last_index < 0)) {
    SendProblem(*writer,
                RequestError(ErrorId::kFieldInvalid, "resume", "Last-Event-ID",
                             "is not a token index"),
                claims->request);
    return;
  }
  SessionStart start;
  start.request = claims->request;
  start.caller = caller->caller;
  start.arrived_ms = this->deps.session.clock.WallMs();
  start.caller_request.api = claims->form;
  start.caller_request.model = claims->model;
  start.parameters.workspace = caller->workspace;
  this->AddSession(start, std::move(writer), DeliveryMode::kStreamed)
      .BeginResumed(*claims, last_index + 1);
}

/////////////
// Sessions
/////////////

GenerationSession& Gateway::AddSession(const SessionStart& start,
                                       std::unique_ptr<ResponseWriter> writer,
                                       DeliveryMode mode) {
  CompletionMetadata metadata;
  metadata.api = start.caller_request.api;
  metadata.request = start.request;
  metadata.model = start.caller_request.model;
  metadata.created_unix_s = start.arrived_ms / 1000;
  const SessionDependencies& session_deps = this->deps.session;
  const std::uint64_t id = ++this->last_session;
  auto caller = std::make_unique<CallerStream>(
      std::move(writer), metadata, mode, session_deps.options.delivery_limits);
  this->by_request[start.request] = id;
  const auto added =
      this->sessions.emplace(id, std::make_unique<GenerationSession>(
                                     session_deps, start, std::move(caller)));
  return *added.first->second;
}

GenerationSession* Gateway::FindSession(std::string_view request) {
  const auto found = this->by_request.find(request);
  if (found == this->by_request.end()) {
    return nullptr;
  }
  const auto session = this->sessions.find(found->second);
  return session == this->sessions.end() ? nullptr : session->second.get();
}

// Called from within the session's own member functions, so the session is
// destroyed later, from the event loop.
void Gateway::OnSessionEnded(const SessionEnd& end) {
  this->deps.observer.OnSessionEnded(end);
  if (!end.resumed) {
    this->deps.gate.EndWork(end.workspace);
  }
  if (this->removal_scheduled) {
    return;
  }
  this->removal_scheduled = true;
  this->deps.session.scheduler.After(0, this->life.Guarded([this] {
    this->RemoveEndedSessions();
    this->DrainQueue();
  }));
}

void Gateway::OnTokenGap(std::int64_t gap_ms) {
  this->deps.observer.OnTokenGap(gap_ms);
}

void Gateway::RemoveEndedSessions() {
  this->removal_scheduled = false;
  for (auto entry = this->sessions.begin(); entry != this->sessions.end();) {
    if (entry->second->Phase() != SessionPhase::kEnded) {
      ++entry;
      continue;
    }
    const auto named = this->by_request.find(entry->second->Request());
    if (named != this->by_request.end() && named->second == entry->first) {
      this->by_request.erase(named);
    }
    entry = this->sessions.erase(entry);
  }
}

void Gateway::DrainQueue() {
  const std::int64_t now = this->deps.session.clock.WallMs();
  Dispatcher& dispatcher = this->deps.session.dispatcher;
  for (const SendOrder& order :
       dispatcher.Drain(now, this->deps.session.random())) {
    GenerationSession* session = this->FindSession(order.work.request);
    if (session != nullptr) {
      session->SendNow(order.decision);
    } else {
      this->deps.session.fleet.NoteEnded(order.work.request, StreamEnd::kCut,
                                         now);
    }
  }
  for (const ExpiredWork& expired :
       dispatcher.Expire(now, this->deps.session.random())) {
    GenerationSession* session = this->FindSession(expired.work.request);
    if (session != nullptr) {
      session->GiveUp(expired.reason, expired.retry_after_ms);
    }
  }
}

void Gateway::TickSessions() {
  for (const auto& [id, session] : this->sessions) {
    session->Tick();
  }
}

std::vector<RunningRequest> Gateway::RunningRequests(
    std::size_t max_count) const {
  std::vector<RunningRequest> running;
  for (const auto& [id, session] : this->sessions) {
    if (running.size() == max_count) {
      break;
    }
    running.push_back(
        {session->Request(), session->Phase(), session->TokensDelivered()});
  }
  return running;
}

void Gateway::EndQuarantined(const CrashRecord& quarantined) {
  for (const auto& [id, session] : this->sessions) {
    session->EndIfQuarantined(quarantined);
  }
}

int Gateway::DisconnectResumableStreams() {
  int cut = 0;
  for (const auto& [id, session] : this->sessions) {
    cut += session->DisconnectForResume() ? 1 : 0;
  }
  return cut;
}

}  // namespace meadowthread
