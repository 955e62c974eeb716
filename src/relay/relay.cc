#include "relay/relay.h"

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "base/log_line.h"
#include "net/http_headers.h"

namespace meadowthread {
namespace {

// A stream whose engine has started again ends once no data has arrived for
// this long. The prefill of other prompts makes streams pause for a quarter of
// this time, and callers wait for two seconds.
constexpr std::int64_t kSilenceTimeoutMs = 1'000;
constexpr std::int64_t kSilencePollMs = 100;

}  // namespace

/// @brief A call together with the connection to its caller.
struct Relay::Call {
  std::unique_ptr<CallSession> session;
  std::unique_ptr<ResponseWriter> writer;
};

Relay::Relay(std::string_view host, const RelayDependencies& deps,
             const StreamDependencies& stream_deps, EngineControl& control,
             const CallerProtocol& callers, const ActiveRoutingConfig& config)
    : deps(deps),
      stream_deps(stream_deps),
      control(control),
      callers(callers),
      config(config),
      drainer(
          host, this->deps, this->stream_deps, config,
          [this](std::string_view engine) { return this->StreamsAt(engine); }) {
}

Relay::~Relay() = default;

void Relay::Serve(const ServerRequest& request,
                  std::unique_ptr<ResponseWriter> writer) {
  ++this->stats.requests;
  absl::StatusOr<RelayRequest> read = this->callers.Read(request);
  if (!read.ok()) {
    this->Refuse(*writer, read.status(), "");
    return;
  }
  writer->SetRequestId(read->id);
  const absl::StatusOr<RelayTerms> terms =
      this->config.TermsOf(*read, this->deps.random());
  if (!terms.ok()) {
    this->Refuse(*writer, terms.status(), read->id);
    return;
  }
  if (terms->rule == ExecutionRule::kStream) {
    this->ServeStream(*std::move(read), *terms, std::move(writer));
  } else {
    this->ServeCall(*std::move(read), *terms, std::move(writer));
  }
}

void Relay::Refuse(ResponseWriter& writer, const absl::Status& why,
                   std::string_view request) {
  ++this->stats.refused;
  const ErrorDetail detail = DetailOf(why);
  LogLine("refused")
      .Add("request", request)
      .Add("code", static_cast<int>(detail.id))
      .Add("step", detail.step)
      .Add("why", std::string{why.message()})
      .Add("retry_after_ms", detail.retry_after_ms)
      .WriteImportant();
  RelayRequestSummary summary;
  summary.outcome = "refused";
  summary.reason = detail.step;
  summary.attempts = 0;
  this->deps.observer.OnRequestEnded(summary);
  Problem problem;
  problem.status = why;
  problem.request = std::string(request);
  writer.SendWhole(this->callers.Answer(problem));
}

////////
// Calls
////////

void Relay::ServeCall(RelayRequest request, RelayTerms terms,
                      std::unique_ptr<ResponseWriter> writer) {
  const std::uint64_t number = ++this->last_number;
  auto call = std::make_unique<Call>();
  call->writer = std::move(writer);
  call->writer->OnClosed([this, number] { this->DropCall(number); });
  call->session = std::make_unique<CallSession>(
      this->deps, std::move(request), std::move(terms),
      [this, number](const absl::StatusOr<HttpResponse>& result) {
        this->AnswerCall(number, result);
      });
  CallSession& session = *call->session;
  this->calls.emplace(number, std::move(call));
  session.Begin();
}

void Relay::AnswerCall(std::uint64_t number,
                       const absl::StatusOr<HttpResponse>& result) {
  const auto found = this->calls.find(number);
  if (found == this->calls.end()) {
    return;
  }
  Call& call = *found->second;
  if (result.ok()) {
    ResponseHead head;
    head.http_status = result->http_status;
    head.headers = EndToEndHeaders(result->headers);
    head.content_length = result->body.size();
    call.writer->StartResponse(head);
    call.writer->Write(result->body);
    call.writer->FinishStream();
  } else {
    Problem problem;
    problem.status = result.status();
    problem.request = call.session->Request().id;
    call.writer->SendWhole(this->callers.Answer(problem));
  }
  this->DropCall(number);
}

void Relay::DropCall(std::uint64_t number) {
  const auto found = this->calls.find(number);
  if (found == this->calls.end()) {
    return;
  }
  found->second->session->Abandon();
  this->ended_calls.push_back(std::move(found->second));
  this->calls.erase(found);
  this->ScheduleSweep();
}

//////////
// Streams
//////////

void Relay::ServeStream(RelayRequest request, RelayTerms terms,
                        std::unique_ptr<ResponseWriter> writer) {
  ++this->stats.streams;
  const std::uint64_t number = ++this->last_number;
  const ServiceRule* const service = this->config.FindService(terms.service);
  const std::int64_t tokens_per_event =
      service != nullptr && service->engine.has_value()
          ? service->engine->tokens_per_event
          : 1;
  auto session = std::make_unique<StreamSession>(
      this->deps, this->stream_deps, this->control, this->callers,
      std::move(request), std::move(terms), tokens_per_event, std::move(writer),
      [this, number] { this->DropStream(number); });
  StreamSession& begun = *session;
  this->streams.emplace(number, std::move(session));
  begun.Begin();
}

void Relay::DropStream(std::uint64_t number) {
  const auto found = this->streams.find(number);
  if (found != this->streams.end()) {
    this->ended_streams.push_back(std::move(found->second));
    this->streams.erase(found);
    this->ScheduleSweep();
  }
}

void Relay::DrainQueue() {
  this->RefuseWaitingForStop();
  const std::int64_t now_ms = this->deps.clock.WallMs();
  for (const SendOrder& order :
       this->stream_deps.dispatcher.Drain(now_ms, this->deps.random())) {
    if (StreamSession* const session = this->FindStream(order.work.request)) {
      session->SendTo(order.decision);
    }
  }
  for (const ExpiredWork& expired :
       this->stream_deps.dispatcher.Expire(now_ms, this->deps.random())) {
    if (StreamSession* const session = this->FindStream(expired.work.request)) {
      session->RefuseFromQueue(expired.reason, expired.retry_after_ms);
    }
  }
}

// The rest of the shutdown may have become too short while a stream waited.
void Relay::RefuseWaitingForStop() {
  if (!this->deps.stops.HasBegun()) {
    return;
  }
  for (StreamSession* const stream : this->AllStreams()) {
    stream->RefuseIfStopEndsFirst();
  }
}

StreamSession* Relay::FindStream(std::string_view request) {
  for (const auto& [number, session] : this->streams) {
    if (session->Request().id == request) {
      return session.get();
    }
  }
  return nullptr;
}

std::vector<StreamSession*> Relay::StreamsAt(std::string_view engine) {
  std::vector<StreamSession*> found;
  for (const auto& [number, session] : this->streams) {
    if (session->Engine() == engine) {
      found.push_back(session.get());
    }
  }
  return found;
}

void Relay::OnEngineLeaves(const Backend& engine) {
  this->drainer.Begin(engine);
}

void Relay::MoveToVersion(std::string_view service, std::string_view version) {
  for (const Backend* const backend : this->deps.backends.All()) {
    if (backend->entry.service == service &&
        backend->entry.version != version) {
      this->drainer.Begin(*backend);
    }
  }
}

bool Relay::IsIdleExceptAt(std::string_view service,
                           std::string_view version) const {
  const auto is_other = [service, version](const Backend* backend) {
    return backend != nullptr && backend->entry.service == service &&
           backend->entry.version != version;
  };
  const bool has_stream = std::any_of(
      this->streams.begin(), this->streams.end(), [&](const auto& entry) {
        return is_other(this->deps.backends.Find(entry.second->Engine()));
      });
  const std::vector<const Backend*> all = this->deps.backends.All();
  return !has_stream &&
         std::none_of(all.begin(), all.end(), [&](const Backend* backend) {
           return is_other(backend) &&
                  this->deps.health.InProgress(backend->key) > 0;
         });
}

void Relay::OnEngineStartedAgain(const Backend& before) {
  for (const auto& [number, session] : this->streams) {
    session->NoteStartedAgain(before.key);
  }
  for (const std::unique_ptr<StreamSession>& session : this->ended_streams) {
    session->NoteStartedAgain(before.key);
  }
  this->EndSilentStreams(before.key);
}

// Repeats until no stream is left at the engine's previous start: each ends
// when its connection does, or once no data has arrived for kSilenceTimeoutMs.
void Relay::EndSilentStreams(const std::string& engine) {
  const std::vector<StreamSession*> remaining = this->StreamsAt(engine);
  for (StreamSession* const session : remaining) {
    session->EndIfSilent(kSilenceTimeoutMs);
  }
  if (!remaining.empty()) {
    this->deps.scheduler.After(
        kSilencePollMs,
        this->life.Guarded([this, engine] { this->EndSilentStreams(engine); }));
  }
}

void Relay::PollEngineStates(bool only_unnamed) {
  std::set<std::string> engines;
  for (const auto& [number, session] : this->streams) {
    engines.insert(session->Engine());
  }
  for (const std::string& engine : engines) {
    const Backend* const backend = this->deps.backends.Find(engine);
    if (backend == nullptr || backend->leaving ||
        this->deps.backoffs.RemainingMs(engine,
                                        this->deps.clock.MonotonicMs()) > 0 ||
        (only_unnamed && backend->entry_valid) ||
        !this->pending_state_reads.insert(engine).second) {
      continue;
    }
    this->control.ReadState(
        backend->entry.address,
        this->life.Guarded(
            [this, engine](const absl::StatusOr<EngineState>& state) {
              this->pending_state_reads.erase(engine);
              this->OnEngineState(engine, state);
            }));
  }
}

// Ignores a report that was sent by another start of the engine than the one
// asked.
void Relay::OnEngineState(const std::string& engine,
                          const absl::StatusOr<EngineState>& state) {
  const Backend* const backend = this->deps.backends.Find(engine);
  if (backend == nullptr || !state.ok()) {
    return;
  }
  if (AreDifferentStarts(state->started_ms, backend->entry.started_ms)) {
    LogLine("report-of-another-start")
        .Add("engine", engine)
        .Add("started_ms", *state->started_ms)
        .Write();
    return;
  }
  if (state->leaving) {
    this->deps.backends.NoteLeaving(engine);
  }
}

// Returns a copy, as sessions remove themselves from the maps when they end.
// Ended sessions live until the next turn of the event loop.
std::vector<CallSession*> Relay::AllCalls() const {
  std::vector<CallSession*> all;
  for (const auto& [number, call] : this->calls) {
    all.push_back(call->session.get());
  }
  return all;
}

std::vector<StreamSession*> Relay::AllStreams() const {
  std::vector<StreamSession*> all;
  for (const auto& [number, session] : this->streams) {
    all.push_back(session.get());
  }
  return all;
}

void Relay::EndForShutdown() {
  const std::int64_t return_after_ms = this->deps.stops.ReturnAfterMs();
  for (CallSession* const call : this->AllCalls()) {
    call->EndForShutdown(return_after_ms);
  }
  for (StreamSession* const stream : this->AllStreams()) {
    stream->EndForShutdown(return_after_ms);
  }
}

void Relay::EndQuarantined(const CrashRecord& quarantined) {
  for (CallSession* const call : this->AllCalls()) {
    call->EndIfQuarantined(quarantined);
  }
  for (StreamSession* const stream : this->AllStreams()) {
    stream->EndIfQuarantined(quarantined);
  }
}

// Sessions end inside their own member functions, so they are destroyed in the
// next turn of the event loop.
void Relay::ScheduleSweep() {
  if (this->sweep_planned) {
    return;
  }
  this->sweep_planned = true;
  this->deps.scheduler.After(0, this->life.Guarded([this] {
    this->sweep_planned = false;
    this->ended_calls.clear();
    this->ended_streams.clear();
  }));
}

}  // namespace meadowthread
