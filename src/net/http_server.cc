#include "net/http_server.h"

#include <QFile>
#include <QHostAddress>
#include <QSslCertificate>
#include <QSslConfiguration>
#include <QSslKey>
#include <QSslServer>
#include <QTcpServer>
#include <QTimer>
#include <algorithm>
#include <chrono>
#include <functional>
#include <unordered_map>
#include <utility>

#include "base/clock.h"
#include "base/error.h"
#include "base/log_line.h"
#include "net/plain_socket.h"
#include "net/qt_socket.h"
#include "net/server_connection.h"
#include "net/socket_poller.h"

namespace meadowthread {
namespace {

// With Qt's default of 50, a burst of connections overflows the queue and has
// to wait for SYN retransmissions.
constexpr int kBacklog = 4096;
// Interval between checks of the connections' timeouts.
constexpr std::chrono::milliseconds kCheckPeriod{250};

absl::Status ListenError(std::string_view what, std::string_view peer) {
  ErrorDetail detail;
  detail.id = ErrorId::kSettingsInvalid;
  detail.step = "listen";
  detail.peer = std::string(peer);
  return MakeError(absl::StatusCode::kInvalidArgument, detail, what);
}

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

/// @brief Passes on accepted descriptors without wrapping them in Qt sockets.
class PlainListener final : public QTcpServer {
 public:
  explicit PlainListener(std::function<void(int)> accepted)
      : accepted(std::move(accepted)) {}

 protected:
  void incomingConnection(qintptr descriptor) override {
    this->accepted(static_cast<int>(descriptor));
  }

 private:
  std::function<void(int)> accepted;
};

}  // namespace

namespace detail {

/// @brief The listening socket and the open connections of an HttpServer.
class ServerCore final : public ServerContext {
 public:
  ServerCore(HttpService* service, const ServerLimits& limits);
  ~ServerCore() override;
  ServerCore(const ServerCore&) = delete;
  ServerCore& operator=(const ServerCore&) = delete;

  absl::StatusOr<std::uint16_t> Listen(std::string_view address,
                                       std::uint16_t port, const TlsFiles& tls);
  void CloseAll();
  void SetLimits(const ServerLimits& with) { this->limits = with; }
  std::size_t Count() const { return this->connections.size(); }
  std::size_t UndeliveredCount() const;
  std::int64_t InterruptedResponses() const { return this->answers_cut; }

  const ServerLimits& Limits() const override { return this->limits; }
  std::int64_t NowMs() const override { return this->clock.MonotonicMs(); }
  HttpService& Service() override { return *this->service; }
  bool IsClosing() const override { return this->closing; }
  bool ReserveBytes(std::int64_t bytes) override;
  void ReleaseBytes(std::int64_t bytes) override { this->held -= bytes; }
  void CountInterruptedResponse() override { ++this->answers_cut; }
  void RemoveConnection(StreamSocketHandler* connection) override;

 private:
  using ConnectionPtr = std::shared_ptr<ServerConnection>;

  void Add(std::unique_ptr<StreamSocket> socket);
  void AcceptTls(QSslServer* secure);
  void CheckTimeouts();
  std::vector<ConnectionPtr> All() const;

  HttpService* service;
  ServerLimits limits;
  SystemClock clock;
  SocketPoller poller;
  std::unique_ptr<QTcpServer> listener;
  QTimer check_timer;
  std::unordered_map<StreamSocketHandler*, ConnectionPtr> connections;
  /// Connections that ended in this turn of the event loop. They are destroyed
  /// later, as their methods may still be on the call stack.
  std::vector<ConnectionPtr> ended;
  std::int64_t held = 0;
  std::int64_t answers_cut = 0;
  bool closing = false;
};

ServerCore::ServerCore(HttpService* service, const ServerLimits& limits)
    : service(service), limits(limits) {
  QObject::connect(&this->check_timer, &QTimer::timeout, &this->check_timer,
                   [this] { this->CheckTimeouts(); });
  this->check_timer.start(kCheckPeriod);
}

ServerCore::~ServerCore() {
  // Writers that outlive the server hold weak pointers to these connections.
  for (const ConnectionPtr& connection : this->All()) {
    connection->CloseForShutdown();
  }
  this->connections.clear();
  this->ended.clear();
}

absl::StatusOr<std::uint16_t> ServerCore::Listen(std::string_view address,
                                                 std::uint16_t port,
                                                 const TlsFiles& tls) {
  if (tls.certificate_file.empty()) {
    this->listener = std::make_unique<PlainListener>([this](int descriptor) {
      this->Add(std::make_unique<PlainSocket>(this->poller, descriptor, true));
    });
  } else {
    const absl::StatusOr<QSslConfiguration> configuration = ReadTls(tls);
    if (!configuration.ok()) {
      return configuration.status();
    }
    auto secure = std::make_unique<QSslServer>();
    secure->setSslConfiguration(*configuration);
    QSslServer* const from = secure.get();
    QObject::connect(from, &QTcpServer::pendingConnectionAvailable, from,
                     [this, from] { this->AcceptTls(from); });
    this->listener = std::move(secure);
  }
  this->listener->setListenBacklogSize(kBacklog);
  const QHostAddress host(QString::fromUtf8(
      address.data(), static_cast<qsizetype>(address.size())));
  if (!this->listener->listen(host, port)) {
    return ListenError(this->listener->errorString().toStdString(), address);
  }
  return this->listener->serverPort();
}

void ServerCore::AcceptTls(QSslServer* secure) {
  while (QTcpSocket* const pending = secure->nextPendingConnection()) {
    auto* const socket = qobject_cast<QSslSocket*>(pending);
    socket->setParent(nullptr);
    this->Add(std::make_unique<QtSocket>(std::unique_ptr<QSslSocket>(socket)));
  }
}

void ServerCore::Add(std::unique_ptr<StreamSocket> socket) {
  if (this->connections.size() >= this->limits.max_connections) {
    LogLine("connection-refused")
        .Add("peer", socket->Peer())
        .Add("connections", this->connections.size())
        .WriteImportant();
    return;
  }
  auto connection =
      std::make_shared<ServerConnection>(*this, std::move(socket));
  this->connections.emplace(connection.get(), connection);
  connection->Begin();
}

bool ServerCore::ReserveBytes(std::int64_t bytes) {
  if (this->held + bytes > this->limits.max_held_bytes) {
    return false;
  }
  this->held += bytes;
  return true;
}

void ServerCore::RemoveConnection(StreamSocketHandler* connection) {
  const auto found = this->connections.find(connection);
  if (found == this->connections.end()) {
    return;
  }
  if (this->ended.empty()) {
    QTimer::singleShot(0, &this->check_timer, [this] { this->ended.clear(); });
  }
  this->ended.push_back(std::move(found->second));
  this->connections.erase(found);
}

std::vector<ServerCore::ConnectionPtr> ServerCore::All() const {
  std::vector<ConnectionPtr> all;
  all.reserve(this->connections.size());
  for (const auto& [handler, connection] : this->connections) {
    all.push_back(connection);
  }
  return all;
}

void ServerCore::CheckTimeouts() {
  const std::int64_t now_ms = this->NowMs();
  for (const ConnectionPtr& connection : this->All()) {
    connection->CheckTimeouts(now_ms);
  }
}

std::size_t ServerCore::UndeliveredCount() const {
  return static_cast<std::size_t>(std::count_if(
      this->connections.begin(), this->connections.end(),
      [](const auto& entry) { return entry.second->HasUndelivered(); }));
}

void ServerCore::CloseAll() {
  this->closing = true;
  for (const ConnectionPtr& connection : this->All()) {
    connection->CloseIfIdle();
  }
}

}  // namespace detail

HttpServer::HttpServer(HttpService* service, const ServerLimits& limits)
    : core(std::make_unique<detail::ServerCore>(service, limits)) {}

HttpServer::~HttpServer() = default;

absl::StatusOr<std::uint16_t> HttpServer::Listen(std::string_view address,
                                                 std::uint16_t port,
                                                 const TlsFiles& tls) {
  return this->core->Listen(address, port, tls);
}

void HttpServer::SetLimits(const ServerLimits& limits) {
  this->core->SetLimits(limits);
}

void HttpServer::CloseConnections() { this->core->CloseAll(); }

std::size_t HttpServer::Connections() const { return this->core->Count(); }

std::int64_t HttpServer::InterruptedResponses() const {
  return this->core->InterruptedResponses();
}

std::size_t HttpServer::UndeliveredCount() const {
  return this->core->UndeliveredCount();
}

}  // namespace meadowthread
