// Tests that a response over TLS is delivered completely, also if the client
// reads slowly and sends more bytes meanwhile.
#include <criterion/criterion.h>

#include <QSslSocket>
#include <QThread>
#include <QTimer>
#include <memory>

#include "net/http_server.h"
#include "net/tests/raw_peer.h"
#include "net/tests/test_certificate.h"

namespace meadowthread {
namespace {

using tests::Loop;
using tests::TestCertificate;

constexpr std::size_t kAnswerBytes = 300'000;
constexpr int kReceiveBytes = 4'096;
// Gives the server time to pass its response to the kernel.
constexpr std::int64_t kLetItWriteMs = 100;

struct LongAnswers final : public HttpService {
  void Serve(const ServerRequest&,
             std::unique_ptr<ResponseWriter> writer) override {
    ++this->served;
    writer->SendWhole(
        {200, "text/plain", {}, std::string(kAnswerBytes, 'a') + "end"});
  }
  int served = 0;
};

/// @brief A TLS client that reads a few bytes every 10 ms.
class SlowTlsClient {
 public:
  explicit SlowTlsClient(std::uint16_t port) {
    this->socket.setPeerVerifyMode(QSslSocket::VerifyNone);
    this->socket.bind(QHostAddress::LocalHost);
    this->socket.setSocketOption(QAbstractSocket::ReceiveBufferSizeSocketOption,
                                 kReceiveBytes);
    this->socket.setReadBufferSize(kReceiveBytes);
    QObject::connect(&this->socket, &QSslSocket::disconnected,
                     [this] { this->closed = true; });
    this->socket.connectToHostEncrypted("127.0.0.1", port);
  }

  void Send(const std::string& bytes) {
    this->socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
  }
  /// @brief Sends and waits until the bytes are in the server's kernel receive
  /// buffer, unread.
  void SendNow(const std::string& bytes) {
    this->Send(bytes);
    this->socket.flush();
    QThread::msleep(20);
  }
  void Read(qint64 bytes_per_10_ms) {
    QObject::connect(&this->timer, &QTimer::timeout, [this, bytes_per_10_ms] {
      this->got += this->socket.read(bytes_per_10_ms).toStdString();
    });
    this->timer.start(10);
  }
  bool IsOver() const {
    return this->closed && this->socket.bytesAvailable() == 0;
  }
  bool IsEncrypted() const { return this->socket.isEncrypted(); }
  bool HasAll() const {
    return this->got.ends_with("aend") && this->got.size() > kAnswerBytes;
  }
  const std::string& Got() const { return this->got; }

 private:
  QSslSocket socket;
  QTimer timer;
  std::string got;
  bool closed = false;
};

struct Fixture {
  Fixture()
      : server(std::make_unique<HttpServer>(&this->service, ServerLimits{})),
        port(*this->server->Listen("127.0.0.1", 0, this->certificate.Files())) {
  }
  Loop loop;
  TestCertificate certificate;
  LongAnswers service;
  std::unique_ptr<HttpServer> server;
  std::uint16_t port;
};

Test(a_slow_caller_over_tls, gets_the_whole_last_answer_of_its_connection) {
  Fixture f;
  SlowTlsClient caller(f.port);
  caller.Send("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  cr_assert(f.loop.Until([&] { return f.service.served == 1; }));
  caller.Read(2'000);
  cr_assert(f.loop.Until([&] { return caller.IsOver(); }));
  cr_assert(caller.HasAll(), "%zu bytes came", caller.Got().size());
}

Test(a_slow_caller_over_tls, that_has_sent_more_gets_it_too) {
  Fixture f;
  SlowTlsClient caller(f.port);
  caller.Send("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  cr_assert(f.loop.Until([&] { return f.service.served == 1; }));
  caller.Read(2'000);
  cr_assert(f.loop.Until([&] { return caller.Got().size() > 10'000; }));
  caller.Send("GET /next HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(f.loop.Until([&] { return caller.IsOver(); }));
  cr_assert(caller.HasAll(), "%zu bytes came", caller.Got().size());
}

Test(a_server_over_tls,
     counts_a_response_as_undelivered_until_its_caller_has_it) {
  Fixture f;
  SlowTlsClient caller(f.port);
  caller.Send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  cr_assert(f.loop.Until([&] { return f.service.served == 1; }));
  cr_assert(f.server->UndeliveredCount() == 1);
  f.server->CloseConnections();
  caller.Read(20'000);
  cr_assert(f.loop.Until([&] { return f.server->UndeliveredCount() == 0; }));
  cr_assert(f.loop.Until([&] { return caller.IsOver(); }));
  cr_assert(caller.HasAll(), "%zu bytes came", caller.Got().size());
}

// Guards against a reset when the server is destroyed with bytes of the client
// unread: only 16,453 of 300,000 bytes arrived.
Test(a_destroyed_server_over_tls, leaves_its_answers_to_the_kernel) {
  for (const bool sends_more : {false, true}) {
    Fixture f;
    SlowTlsClient caller(f.port);
    caller.Send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(f.loop.Until([&] { return f.service.served == 1; }));
    cr_assert(f.loop.Until([&] { return f.server->UndeliveredCount() == 1; }));
    f.loop.Until([&] { return !caller.Got().empty(); }, kLetItWriteMs);
    if (sends_more) {
      caller.SendNow("GET /next HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    f.server.reset();
    caller.Read(20'000);
    cr_assert(f.loop.Until([&] { return caller.HasAll() || caller.IsOver(); }));
    cr_assert(caller.HasAll(), "%zu bytes came", caller.Got().size());
  }
}

}  // namespace
}  // namespace meadowthread
