#include "engine/engine_service.h"

#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "engine/engine_wire.h"
#include "http/fault_control.h"

namespace meadowthread::standins {
namespace {

// The time and a random part, so that each start of an engine has its own.
std::string NewIncarnation(std::int64_t now_ms) {
  std::random_device random;
  return absl::StrCat(absl::Hex(now_ms),
                      absl::Hex(random() & 0xFFFFU, absl::kZeroPad4));
}

int StatusOf(std::string_view reason) {
  if (reason == "full") {
    return 429;
  }
  return reason == "malformed" ? 400 : 503;
}

}  // namespace

EngineService::EngineService(const EngineOptions& options,
                             const std::string& name)
    : options(options),
      name(name),
      model(options.limits, name, NewIncarnation(this->clock.NowMs())),
      reports(options.report_lag_ms),
      orders(options.checks_fence),
      loader(
          options.weights_url, name,
          [this](const ModelRef& one) { return this->models.IsLoading(one); },
          [this](const ModelRef& one) { this->models.MarkReady(one); }) {
  for (const ModelRef& one : options.models) {
    this->models.Add(one);
  }
}

void EngineService::Handle(const Request& request,
                           const ExchangePtr& exchange) {
  if (!request.segments.empty() && request.segments[0] == "standin") {
    this->HandleControl(request, exchange);
    return;
  }
  if (this->faults.stall) {
    this->Cork(exchange);
  }
  const bool is_one_generation = request.segments.size() == 3 &&
                                 request.segments[0] == "v1" &&
                                 request.segments[1] == "generations";
  if (request.PathIs({"v1", "generations"}) && request.method == "POST") {
    this->Start(request, exchange);
  } else if (is_one_generation && request.method == "GET") {
    this->Resume(request, exchange);
  } else if (is_one_generation && request.method == "DELETE") {
    this->Cancel(request.segments[2], exchange);
  } else if (request.PathIs({"v1", "load"})) {
    this->SendLoad(exchange);
  } else if (request.PathIs({"v1", "cache-events"})) {
    this->SendCacheEvents(request, exchange);
  } else if (request.PathIs({"v1", "orders"}) && request.method == "POST") {
    this->TakeOrder(request, exchange);
  } else {
    exchange->Send(ErrorReply(404, "no_such_call", request.path));
  }
}

void EngineService::Tick() {
  if (this->faults.stall) {
    return;
  }
  const std::int64_t now_ms = this->clock.NowMs();
  const bool stepped = this->model.Advance(now_ms) > 0;
  this->reports.Note(this->model.Load(), now_ms);
  // Most ticks fall between two steps, when there are no new tokens to send.
  if (stepped || this->streams_behind) {
    this->PumpStreams(now_ms);
  }
}

void EngineService::PumpStreams(std::int64_t now_ms) {
  this->streams_behind = false;
  std::vector<Generation*> finished;
  for (const auto& [generation, stream] : this->streams) {
    const PumpResult pumped =
        stream->Pump(this->faults, now_ms, &this->token_events, &this->buffer);
    if (pumped == PumpResult::kOver) {
      finished.push_back(generation);
    } else if (pumped == PumpResult::kBehind) {
      this->streams_behind = true;
    }
  }
  for (Generation* generation : finished) {
    this->Detach(generation);
  }
}

// 1. generations

void EngineService::Start(const Request& request, const ExchangePtr& exchange) {
  ++this->record.counts.starts;
  const std::optional<GenerationSpec> spec = ParseStart(request.body);
  if (!spec) {
    this->Reject({}, "malformed", exchange);
    return;
  }
  const bool refuses = this->faults.refuse_after_read > 0;
  if (refuses) {
    --this->faults.refuse_after_read;
  }
  if (refuses && !this->faults.run) {
    this->RecordRefusal(*spec, "refused_after_read");
    exchange->Abort();
    return;
  }
  const std::string reason = this->RejectionOf(*spec);
  const std::int64_t now_ms = this->clock.NowMs();
  Generation* generation =
      reason.empty() ? this->model.Start(*spec, now_ms) : nullptr;
  if (generation == nullptr) {
    this->Reject(*spec, reason.empty() ? "full" : reason, exchange);
  } else if (spec->crashes_engine && this->on_engine_crash) {
    this->Cork(exchange);
    this->on_engine_crash();
  } else if (refuses) {
    this->model.SetRead(generation, false, now_ms);
    exchange->Abort();
  } else {
    this->Attach(generation, 0, exchange);
  }
}

std::string EngineService::RejectionOf(const GenerationSpec& spec) const {
  if (!this->faults.reject.empty()) {
    return this->faults.reject;
  }
  if (this->state == "leaving") {
    return "leaving";
  }
  return this->models.Has(spec.model) ? "" : "not_loaded";
}

void EngineService::RecordRefusal(const GenerationSpec& spec,
                                  std::string_view reason) {
  this->record.refused.push_back(
      {spec.request, spec.workspace, std::string(reason), this->clock.NowMs()});
}

void EngineService::Reject(const GenerationSpec& spec, std::string_view reason,
                           const ExchangePtr& exchange) {
  ++this->record.counts.rejects;
  this->RecordRefusal(spec, reason);
  exchange->Send(ErrorReply(StatusOf(reason), reason, "not run"));
}

void EngineService::Resume(const Request& request,
                           const ExchangePtr& exchange) {
  ++this->record.counts.resumes;
  Generation* generation =
      this->model.Find(request.segments[2], this->clock.NowMs());
  const std::int64_t from = request.QueryNumber("from", 0);
  if (generation == nullptr || from < 0) {
    ++this->record.counts.unknown_resumes;
    exchange->Send(ErrorReply(404, "unknown", "no such generation"));
    return;
  }
  this->Attach(generation, from, exchange);
}

void EngineService::Cancel(const std::string& id, const ExchangePtr& exchange) {
  ++this->record.counts.cancels;
  if (!this->model.Cancel(id, this->clock.NowMs())) {
    exchange->Send(ErrorReply(404, "unknown", "it is not running"));
    return;
  }
  this->streams_behind = true;
  Reply reply;
  reply.status = 204;
  reply.content_type.clear();
  exchange->Send(reply);
}

void EngineService::Attach(Generation* generation, std::int64_t from,
                           const ExchangePtr& exchange) {
  const auto current = this->streams.find(generation);
  if (current != this->streams.end()) {
    const ExchangePtr replaced = current->second->Exchange();
    this->streams.erase(current);
    replaced->OnClosed([] {});
    replaced->SendChunk("event: replaced\ndata: {\"g\":\"" + generation->id +
                        "\"}\n\n");
    replaced->EndStreamAndClose();
  }
  this->model.SetRead(generation, true, this->clock.NowMs());
  auto stream = std::make_unique<TokenStream>(exchange, generation, from);
  stream->Begin();
  this->streams[generation] = std::move(stream);
  this->streams_behind = true;
  exchange->OnClosed([this, generation] { this->Detach(generation); });
}

void EngineService::Detach(Generation* generation) {
  this->streams.erase(generation);
  this->model.SetRead(generation, false, this->clock.NowMs());
}

// 2. load, cache events and orders

void EngineService::SendLoad(const ExchangePtr& exchange) {
  ++this->record.counts.load_reads;
  const LoadReport report = this->reports.At(this->clock.NowMs());
  exchange->Send(
      JsonReply(200, {{"engine", this->name},
                      {"incarnation", this->model.Incarnation()},
                      {"as_of_unix_ms", report.as_of_ms},
                      {"running", report.load.running},
                      {"waiting", report.load.waiting},
                      {"kv_used", report.load.kv_used},
                      {"kv_capacity", report.load.kv_capacity},
                      {"preemptions", report.load.preemptions},
                      {"role", this->options.role},
                      {"state", this->state},
                      {"models", ModelsJson(this->models.Loaded())}}));
}

void EngineService::SendCacheEvents(const Request& request,
                                    const ExchangePtr& exchange) {
  const std::int64_t as_of_ms =
      this->clock.NowMs() - this->options.cache_lag_ms;
  const std::vector<CacheEvent> events = this->model.Prefixes().EventsAfter(
      request.QueryNumber("after", 0), as_of_ms, this->options.cache_gap_every);
  exchange->Send(JsonReply(200, CacheEventsJson(events)));
}

void EngineService::TakeOrder(const Request& request,
                              const ExchangePtr& exchange) {
  const std::optional<Order> order = ParseOrder(request.body);
  if (!order) {
    exchange->Send(ErrorReply(400, "malformed", "not an order"));
    return;
  }
  const OrderAnswer answer = this->orders.Take(*order, this->clock.NowMs());
  if (answer == OrderAnswer::kDeadlinePassed) {
    exchange->Send(ErrorReply(410, "deadline_passed", "too late"));
    return;
  }
  if (answer == OrderAnswer::kStaleFence) {
    exchange->Send(JsonReply(409, {{"reason", "stale_fence"},
                                   {"fence", this->orders.HighestFence()}}));
    return;
  }
  if (!order->role.empty()) {
    this->options.role = order->role;
  }
  for (const ModelRef& one : this->models.SetDesired(order->models)) {
    this->loader.Load(one);
  }
  exchange->Send(JsonReply(200, {{"applied", true}}));
}

// 3. control calls of tests

void EngineService::HandleControl(const Request& request,
                                  const ExchangePtr& exchange) {
  if (request.PathIs({"standin", "record"})) {
    exchange->Send(
        JsonReply(200, this->record.ToJson(this->model, this->orders)));
    return;
  }
  ApplyFaultControl(request, exchange, [this](const nlohmann::json& change) {
    this->ApplyFaults(change);
  });
}

void EngineService::ApplyFaults(const nlohmann::json& change) {
  this->faults.Merge(change);
  this->state = change.value("state", this->state);
  if (!this->faults.stall) {
    this->Uncork();
  }
  if (change.value("lose_generations", false)) {
    this->LoseAll();
  }
  if (change.value("close_streams", false)) {
    this->CloseStreams();
  }
}

void EngineService::LoseAll() {
  const std::int64_t now_ms = this->clock.NowMs();
  this->CloseStreams();
  this->model.Restart(NewIncarnation(now_ms), now_ms);
}

void EngineService::CloseStreams() {
  while (!this->streams.empty()) {
    Generation* generation = this->streams.begin()->first;
    this->streams.begin()->second->Exchange()->Abort();
    this->Detach(generation);
  }
}

void EngineService::Cork(const ExchangePtr& exchange) {
  exchange->SetCorked(true);
  this->corked.push_back(exchange);
}

void EngineService::Uncork() {
  for (const ExchangePtr& exchange : std::exchange(this->corked, {})) {
    exchange->SetCorked(false);
  }
}

}  // namespace meadowthread::standins
