#include "exchange/rpc_server.h"

#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QPointer>
#include <QTcpSocket>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "exchange/bounded_listener.h"

namespace meadowthread {
namespace {

constexpr char kPath[] = "/rpc";
constexpr char kMimeType[] = "application/json";

}  // namespace

RpcServer::RpcServer(const RpcServerSettings& server_settings)
    : settings(server_settings) {}

void RpcServer::Register(std::string_view method, const RpcHandler& handler) {
  this->dispatcher.Register(method, handler);
}

void RpcServer::RegisterDeferred(std::string_view method,
                                 const RpcDeferredHandler& handler) {
  this->dispatcher.RegisterDeferred(method, handler);
}

absl::StatusOr<std::uint16_t> RpcServer::Listen(const QHostAddress& address,
                                                std::uint16_t port) {
  const detail::ConnectionBounds bounds{
      this->settings.max_body_bytes + this->settings.max_header_bytes,
      this->settings.idle_limit_ms, this->settings.max_connections};
  auto* listener = new detail::BoundedListener(bounds, this);
  if (!listener->listen(address, port)) {
    ErrorDetail detail;
    detail.id = ErrorId::kSettingsInvalid;
    detail.step = "control_listen";
    detail.field = "control_port";
    const std::string reason = listener->errorString().toStdString();
    delete listener;
    return MakeError(absl::StatusCode::kUnavailable, detail, reason);
  }
  this->bind(listener);
  return listener->serverPort();
}

bool RpcServer::handleRequest(const QHttpServerRequest& request,
                              QTcpSocket* socket) {
  using StatusCode = QHttpServerResponder::StatusCode;
  if (auto* bounded = qobject_cast<detail::BoundedSocket*>(socket)) {
    bounded->RequestTaken();
  }
  if (request.url().path() != QLatin1String(kPath)) {
    return false;
  }
  if (request.method() != QHttpServerRequest::Method::Post) {
    makeResponder(request, socket).write(StatusCode::MethodNotAllowed);
    return true;
  }
  const QByteArray body = request.body();
  if (body.size() > this->settings.max_body_bytes) {
    makeResponder(request, socket).write(StatusCode::PayloadTooLarge);
    return true;
  }
  // The responder outlives this call where a method answers later; the socket
  // may be gone by then.
  const auto responder =
      std::make_shared<QHttpServerResponder>(makeResponder(request, socket));
  const QPointer<QTcpSocket> alive(socket);
  this->dispatcher.Handle(
      std::string_view(body.data(), static_cast<std::size_t>(body.size())),
      [responder, alive](std::string_view answer) {
        if (!alive.isNull()) {
          responder->write(
              QByteArray(answer.data(), static_cast<qsizetype>(answer.size())),
              kMimeType);
        }
      });
  return true;
}

void RpcServer::missingHandler(const QHttpServerRequest& request,
                               QTcpSocket* socket) {
  makeResponder(request, socket)
      .write(QHttpServerResponder::StatusCode::NotFound);
}

}  // namespace meadowthread
