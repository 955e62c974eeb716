#include "net/http_server.h"

#include <QAbstractHttpServer>
#include <QFile>
#include <QHostAddress>
#include <QHttpServerRequest>
#include <QSslCertificate>
#include <QSslConfiguration>
#include <QSslKey>
#include <QSslServer>
#include <QTcpServer>
#include <utility>

#include "base/error.h"
#include "net/connection_guard.h"

namespace meadowthread {
namespace {

std::string_view MethodName(QHttpServerRequest::Method method) {
  switch (method) {
    case QHttpServerRequest::Method::Get:
      return "GET";
    case QHttpServerRequest::Method::Post:
      return "POST";
    case QHttpServerRequest::Method::Put:
      return "PUT";
    case QHttpServerRequest::Method::Delete:
      return "DELETE";
    case QHttpServerRequest::Method::Head:
      return "HEAD";
    case QHttpServerRequest::Method::Options:
      return "OPTIONS";
    case QHttpServerRequest::Method::Patch:
      return "PATCH";
    default:
      return "UNKNOWN";
  }
}

absl::Status ListenError(std::string_view what, std::string_view peer) {
  ErrorDetail detail;
  detail.id = ErrorId::kSettingsInvalid;
  detail.step = "listen";
  detail.peer = std::string(peer);
  return MakeError(absl::StatusCode::kInvalidArgument, detail, what);
}

/// @brief Attaches a guard to each connection before Qt's parser sees it.
template <class Base>
class GuardedServer final : public Base {
 public:
  explicit GuardedServer(const ServerLimits& limits) : limits(limits) {}

  QTcpSocket* nextPendingConnection() override {  // NOLINT(*-naming)
    QTcpSocket* socket = Base::nextPendingConnection();
    if (socket != nullptr) {
      socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
      new detail::ConnectionGuard(socket, this->limits);
    }
    return socket;
  }

 private:
  ServerLimits limits;
};

}  // namespace

namespace detail {

/// @brief Qt's server, handing requests on to the service.
class QtHttpServer final : public QAbstractHttpServer {
 public:
  QtHttpServer(HttpService* service, const ServerLimits& limits)
      : service(service), limits(limits) {}

  const ServerLimits& Limits() const { return this->limits; }

 protected:
  bool handleRequest(const QHttpServerRequest& request,
                     QTcpSocket* socket) override {
    ConnectionGuard* guard = GuardOf(socket);
    // Qt hands over a pipelined request while the answer before it is still
    // being written; a second answer would run into the first.
    if (guard == nullptr || guard->IsAnswering()) {
      socket->abort();
      return true;
    }
    guard->RequestTaken();
    auto writer = std::make_unique<ResponseWriter>(
        makeResponder(request, socket), socket);
    guard->SetAnswering(writer.get());
    this->service->Serve(Convert(request), std::move(writer));
    return true;
  }

  void missingHandler(const QHttpServerRequest& /*request*/,
                      QTcpSocket* /*socket*/) override {}

 private:
  static ConnectionGuard* GuardOf(QTcpSocket* socket) {
    for (QObject* child : socket->children()) {
      if (auto* guard = dynamic_cast<ConnectionGuard*>(child)) {
        return guard;
      }
    }
    return nullptr;
  }

  static ServerRequest Convert(const QHttpServerRequest& request) {
    ServerRequest out;
    out.method = MethodName(request.method());
    out.path = request.url().path(QUrl::FullyEncoded).toStdString();
    out.query = request.url().query(QUrl::FullyEncoded).toStdString();
    for (const auto& [name, value] : request.headers()) {
      out.headers.push_back({name.toStdString(), value.toStdString()});
    }
    out.body = request.body().toStdString();
    out.peer = request.remoteAddress().toString().toStdString();
    return out;
  }

  HttpService* service;
  ServerLimits limits;
};

}  // namespace detail

namespace {

absl::StatusOr<QSslConfiguration> ReadTls(const TlsFiles& files) {
  QFile certificate_file(QString::fromStdString(files.certificate_file));
  if (!certificate_file.open(QIODevice::ReadOnly)) {
    return ListenError("the certificate cannot be read",
                       files.certificate_file);
  }
  QFile key_file(QString::fromStdString(files.key_file));
  if (!key_file.open(QIODevice::ReadOnly)) {
    return ListenError("the key cannot be read", files.key_file);
  }
  const QList<QSslCertificate> chain =
      QSslCertificate::fromData(certificate_file.readAll(), QSsl::Pem);
  const QByteArray key_bytes = key_file.readAll();
  QSslKey key(key_bytes, QSsl::Rsa);
  if (key.isNull()) {
    key = QSslKey(key_bytes, QSsl::Ec);
  }
  if (chain.isEmpty() || key.isNull()) {
    return ListenError("no certificate or no key in the TLS files",
                       files.certificate_file);
  }
  QSslConfiguration configuration = QSslConfiguration::defaultConfiguration();
  configuration.setLocalCertificateChain(chain);
  configuration.setPrivateKey(key);
  return configuration;
}

}  // namespace

HttpServer::HttpServer(HttpService* service, const ServerLimits& limits)
    : server(std::make_unique<detail::QtHttpServer>(service, limits)) {}

HttpServer::~HttpServer() = default;

absl::StatusOr<std::uint16_t> HttpServer::Listen(std::string_view address,
                                                 std::uint16_t port,
                                                 const TlsFiles& tls) {
  std::unique_ptr<QTcpServer> listener;
  if (tls.certificate_file.empty()) {
    listener =
        std::make_unique<GuardedServer<QTcpServer>>(this->server->Limits());
  } else {
    const absl::StatusOr<QSslConfiguration> configuration = ReadTls(tls);
    if (!configuration.ok()) {
      return configuration.status();
    }
    auto secure =
        std::make_unique<GuardedServer<QSslServer>>(this->server->Limits());
    secure->setSslConfiguration(*configuration);
    listener = std::move(secure);
  }
  // Qt's own 50 make a burst of connections wait for their SYN to be repeated.
  listener->setListenBacklogSize(4096);
  const QHostAddress host(QString::fromUtf8(
      address.data(), static_cast<qsizetype>(address.size())));
  if (!listener->listen(host, port)) {
    return ListenError(listener->errorString().toStdString(), address);
  }
  const std::uint16_t bound = listener->serverPort();
  this->server->bind(listener.release());
  return bound;
}

}  // namespace meadowthread
