#include "exchange/rpc_server.h"

#include <string>
#include <utility>

#include "net/http_code.h"

namespace meadowthread {
namespace {

constexpr std::string_view kPath = "/rpc";

ServerLimits LimitsOf(const RpcServerSettings& settings) {
  ServerLimits limits;
  limits.max_body_bytes = settings.max_body_bytes;
  limits.max_header_bytes = settings.max_header_bytes;
  limits.header_timeout_ms = settings.idle_timeout_ms;
  limits.body_timeout_ms = settings.idle_timeout_ms;
  limits.idle_timeout_ms = settings.idle_timeout_ms;
  limits.max_connections = settings.max_connections;
  return limits;
}

void SendEmpty(ResponseWriter& writer, int http_status) {
  ServerResponse response;
  response.http_status = http_status;
  response.content_type.clear();
  writer.SendWhole(response);
}

}  // namespace

RpcServer::RpcServer(const RpcServerSettings& settings)
    : server(this, LimitsOf(settings)) {}

void RpcServer::Register(std::string_view method, const RpcHandler& handler) {
  this->dispatcher.Register(method, handler);
}

void RpcServer::RegisterDeferred(std::string_view method,
                                 const RpcDeferredHandler& handler) {
  this->dispatcher.RegisterDeferred(method, handler);
}

absl::StatusOr<std::uint16_t> RpcServer::Listen(const QHostAddress& address,
                                                std::uint16_t port) {
  return this->server.Listen(address.toString().toStdString(), port, {});
}

void RpcServer::Serve(const ServerRequest& request,
                      std::unique_ptr<ResponseWriter> writer) {
  if (request.path != kPath) {
    SendEmpty(*writer, http_code::kNotFound);
    return;
  }
  if (request.method != "POST") {
    SendEmpty(*writer, http_code::kMethodNotAllowed);
    return;
  }
  // Shared, as an asynchronous method replies after this returns; the caller
  // may have disconnected by then.
  const std::shared_ptr<ResponseWriter> answers = std::move(writer);
  this->dispatcher.Handle(request.body, [answers](std::string_view answer) {
    ServerResponse response;
    response.body = std::string(answer);
    answers->SendWhole(response);
  });
}

}  // namespace meadowthread
