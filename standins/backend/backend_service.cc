#include "backend/backend_service.h"

#include <QTimer>
#include <chrono>

#include "http/fault_control.h"

namespace meadowthread::standins {

void BackendFaults::Merge(const nlohmann::json& change) {
  if (change.contains("refuse_after_read")) {
    this->refuse_after_read = change.value("refuse_after_read", 0);
    this->run = false;
  }
  this->run = change.value("run", this->run);
  this->status = change.value("status", this->status);
  this->delay_ms = change.value("delay_ms", this->delay_ms);
}

void BackendService::Handle(const Request& request,
                            const ExchangePtr& exchange) {
  if (!request.segments.empty() && request.segments[0] == "standin") {
    this->HandleControl(request, exchange);
  } else {
    this->Serve(request, exchange);
  }
}

void BackendService::HandleControl(const Request& request,
                                   const ExchangePtr& exchange) {
  if (request.PathIs({"standin", "record"})) {
    exchange->Send(JsonReply(200, this->RecordJson()));
    return;
  }
  ApplyFaultControl(request, exchange, [this](const nlohmann::json& change) {
    this->faults.Merge(change);
  });
}

void BackendService::Serve(const Request& request,
                           const ExchangePtr& exchange) {
  ++this->arrived;
  if (this->faults.refuse_after_read > 0) {
    --this->faults.refuse_after_read;
    if (this->faults.run) {
      this->Run(request);
    }
    exchange->Abort();
    return;
  }
  const Reply reply = this->Run(request);
  if (this->faults.delay_ms <= 0) {
    exchange->Send(reply);
    return;
  }
  QTimer::singleShot(std::chrono::milliseconds(this->faults.delay_ms), this,
                     [exchange, reply] { exchange->Send(reply); });
}

Reply BackendService::Run(const Request& request) {
  const std::string key(request.HeaderValue("Idempotency-Key"));
  this->calls.push_back({request.method, request.path, key, request.body});
  const std::int64_t runs = ++this->runs_by_key[key];
  const int status = this->faults.status == 0 ? 200 : this->faults.status;
  return JsonReply(status,
                   {{"service", this->name},
                    {"method", request.method},
                    {"path", request.path},
                    {"query", request.raw_query},
                    {"content_type", request.HeaderValue("Content-Type")},
                    {"idempotency_key", key},
                    {"body", request.body},
                    {"runs", runs}});
}

nlohmann::json BackendService::RecordJson() const {
  nlohmann::json list = nlohmann::json::array();
  for (const BackendCall& call : this->calls) {
    list.push_back({{"method", call.method},
                    {"path", call.path},
                    {"idempotency_key", call.idempotency_key},
                    {"body", call.body}});
  }
  return {{"arrived", this->arrived},
          {"calls", std::move(list)},
          {"runs_by_key", this->runs_by_key}};
}

}  // namespace meadowthread::standins
