#include "hostlist/host_list_service.h"

#include <string>

namespace meadowthread::standins {

void HostListService::Handle(const Request& request,
                             const ExchangePtr& exchange) {
  if (request.PathIs({"hosts"}) && request.method == "GET") {
    this->ShowList(exchange);
  } else if (request.PathIs({"standin", "hosts"}) && request.method == "PUT") {
    this->Change(request, exchange);
  } else if (request.PathIs({"standin", "faults"})) {
    this->ChangeFaults(request, exchange);
  } else if (request.PathIs({"standin", "record"})) {
    exchange->Send(JsonReply(200, {{"reads", this->reads}}));
  } else {
    exchange->Send(ErrorReply(404, "no_such_call", request.path));
  }
}

void HostListService::ShowList(const ExchangePtr& exchange) {
  ++this->reads;
  if (this->down) {
    exchange->Send(ErrorReply(503, "unavailable", "an outage"));
    return;
  }
  const std::int64_t as_of_ms = this->clock.NowMs() - this->lag_ms;
  exchange->Send(JsonReply(200, {{"as_of_unix_ms", as_of_ms},
                                 {"hosts", this->history.At(as_of_ms).hosts}}));
}

void HostListService::ChangeFaults(const Request& request,
                                   const ExchangePtr& exchange) {
  try {
    const nlohmann::json change = nlohmann::json::parse(request.body);
    this->down = change.value("down", this->down);
    this->lag_ms = change.value("lag_ms", this->lag_ms);
    exchange->Send(JsonReply(200, {{"applied", true}}));
  } catch (const nlohmann::json::exception& error) {
    exchange->Send(ErrorReply(400, "malformed", error.what()));
  }
}

void HostListService::Change(const Request& request,
                             const ExchangePtr& exchange) {
  const absl::StatusOr<nlohmann::json> hosts = ParseHosts(request.body);
  if (!hosts.ok()) {
    exchange->Send(
        ErrorReply(400, "malformed", std::string{hosts.status().message()}));
    return;
  }
  this->history.Set(*hosts, this->clock.NowMs());
  exchange->Send(JsonReply(200, {{"applied", true}}));
}

}  // namespace meadowthread::standins
