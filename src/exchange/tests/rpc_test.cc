// Control calls between hosts over real sockets on loopback; malformed bytes
// also go to the dispatcher directly.
#include <criterion/criterion.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <optional>

#include "base/error.h"
#include "exchange/rpc_client.h"
#include "exchange/rpc_server.h"

namespace meadowthread {
namespace {

constexpr int kGenerousMs = 20000;

struct Loop {
  int argc = 0;
  QCoreApplication application{this->argc, nullptr};
  SystemClock clock;

  // Returns as soon as the condition holds; kGenerousMs only ends a failed
  // test.
  template <class Condition>
  bool Until(Condition condition) {
    const std::int64_t end_ms = this->clock.MonotonicMs() + kGenerousMs;
    while (!condition() && this->clock.MonotonicMs() < end_ms) {
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 20);
      QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
    }
    return condition();
  }
};

absl::Status Rejection() {
  ErrorDetail detail;
  detail.id = ErrorId::kFieldInvalid;
  detail.step = "parse";
  detail.field = "items";
  return MakeError(absl::StatusCode::kInvalidArgument, detail, "no list");
}

RpcPeer Serve(RpcServer& server) {
  server.Register("echo",
                  [](std::string_view params) { return std::string(params); });
  server.Register("reject", [](std::string_view) { return Rejection(); });
  return {"makati-1", "127.0.0.1", *server.Listen(QHostAddress::LocalHost, 0)};
}

absl::StatusOr<std::string> CallOnce(Loop& loop, RpcClient& client,
                                     const RpcPeer& peer,
                                     std::string_view method,
                                     std::string_view params,
                                     std::int64_t timeout_ms) {
  std::optional<absl::StatusOr<std::string>> result;
  client.Call(peer, method, params, timeout_ms,
              [&result](const auto& got) { result = got; });
  cr_assert(loop.Until([&result] { return result.has_value(); }));
  return *result;
}

QByteArray SendRaw(Loop& loop, const RpcPeer& peer, const QByteArray& bytes) {
  QTcpSocket socket;
  QByteArray answer;
  bool ended = false;
  QObject::connect(&socket, &QTcpSocket::readyRead,
                   [&] { answer += socket.readAll(); });
  QObject::connect(&socket, &QTcpSocket::disconnected, [&] { ended = true; });
  socket.connectToHost(QHostAddress::LocalHost, peer.control_port);
  socket.write(bytes);
  cr_assert(loop.Until([&] { return ended; }), "the connection stays open");
  return answer;
}

// Answers every request with the same bytes.
struct RawServer {
  explicit RawServer(const QByteArray& answer, int repeats = 1) {
    QObject::connect(&this->server, &QTcpServer::newConnection, [=, this] {
      QTcpSocket* const socket = this->server.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [=] {
        socket->readAll();
        for (int repeat = 0; repeat < repeats; ++repeat) {
          socket->write(answer);
        }
        socket->disconnectFromHost();
      });
    });
    this->server.listen(QHostAddress::LocalHost, 0);
  }
  RpcPeer Peer() const {
    return {"laredo-1", "127.0.0.1", this->server.serverPort()};
  }
  QTcpServer server;
};

std::string Dispatched(std::string_view request) {
  RpcDispatcher dispatcher;
  dispatcher.Register(
      "echo", [](std::string_view params) { return std::string(params); });
  std::string answer;
  dispatcher.Handle(request, [&](std::string_view got) { answer = got; });
  return answer;
}

Test(a_control_call, returns_the_result) {
  Loop loop;
  RpcServer server{RpcServerSettings{}};
  const RpcPeer peer = Serve(server);
  RpcClient client({}, loop.clock);
  const auto result = CallOnce(loop, client, peer, "echo",
                               R"({"from":"pasig-1","n":[1,2]})", kGenerousMs);
  cr_assert(result.ok() && *result == R"({"from":"pasig-1","n":[1,2]})");
  cr_assert(client.InFlight() == 0);
}

Test(a_control_call, returns_an_error_with_step_field_and_peer) {
  Loop loop;
  RpcServer server{RpcServerSettings{}};
  const RpcPeer peer = Serve(server);
  RpcClient client({}, loop.clock);
  const auto result = CallOnce(loop, client, peer, "reject", "{}", kGenerousMs);
  const ErrorDetail detail = DetailOf(result.status());
  cr_assert(detail.id == ErrorId::kFieldInvalid && detail.field == "items");
  cr_assert(detail.step == "parse" && detail.peer == "makati-1");
  cr_assert(absl::IsInvalidArgument(result.status()));
}

Test(a_control_call, ignores_proxies_from_the_environment) {
  setenv("http_proxy", "http://127.0.0.1:9", 1);
  Loop loop;
  RpcServer server{RpcServerSettings{}};
  const RpcPeer peer = Serve(server);
  RpcClient client({}, loop.clock);
  cr_assert(CallOnce(loop, client, peer, "echo", "{}", kGenerousMs).ok());
}

Test(a_control_call, can_be_answered_later) {
  Loop loop;
  RpcServer server{RpcServerSettings{}};
  const RpcPeer peer = Serve(server);
  RpcReply held;
  server.RegisterDeferred(
      "later", [&](std::string_view, const RpcReply& reply) { held = reply; });
  RpcClient client({}, loop.clock);
  std::string got;
  client.Call(peer, "later", "{}", kGenerousMs,
              [&](const auto& result) { got = result.value_or("error"); });
  cr_assert(loop.Until([&] { return static_cast<bool>(held); }));
  held(std::string(R"({"taken":3})"));
  cr_assert(loop.Until([&] { return !got.empty(); }));
  cr_assert(got == R"({"taken":3})");
}

Test(a_control_call, times_out_if_the_peer_is_silent) {
  Loop loop;
  QTcpServer silent;
  silent.listen(QHostAddress::LocalHost, 0);
  RpcClient client({}, loop.clock);
  const auto result =
      CallOnce(loop, client, {"reinosa-1", "127.0.0.1", silent.serverPort()},
               "echo", "{}", 100);
  cr_assert(DetailOf(result.status()).id == ErrorId::kPeerTimeout);
}

Test(a_control_call, is_refused_if_too_many_are_in_progress) {
  Loop loop;
  QTcpServer silent;
  silent.listen(QHostAddress::LocalHost, 0);
  const RpcPeer peer{"reinosa-1", "127.0.0.1", silent.serverPort()};
  RpcClient client({1, 2}, loop.clock);
  std::vector<ErrorId> ends;
  for (int call = 0; call < 3; ++call) {
    client.Call(peer, "echo", "{}", 200, [&](const auto& result) {
      ends.push_back(DetailOf(result.status()).id);
    });
  }
  cr_assert(loop.Until([&] { return ends.size() == 3; }));
  cr_assert(ends.front() == ErrorId::kOverloaded);
  cr_assert(ends.back() == ErrorId::kPeerTimeout);
}

Test(a_peers_answer, that_is_not_json_rpc_is_an_error_of_the_peer) {
  Loop loop;
  RpcClient client({}, loop.clock);
  for (const char* const answer :
       {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[[[[",
        "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\n\r\n"}) {
    const RawServer server(answer);
    const auto result =
        CallOnce(loop, client, server.Peer(), "echo", "{}", kGenerousMs);
    cr_assert(DetailOf(result.status()).id == ErrorId::kPeerMalformed);
    cr_assert(DetailOf(result.status()).peer == "laredo-1");
  }
  const RawServer garbage("\x16\x03\x01 no http");
  const auto result =
      CallOnce(loop, client, garbage.Peer(), "echo", "{}", kGenerousMs);
  cr_assert(DetailOf(result.status()).id == ErrorId::kConnectionLost);
}

Test(a_peers_answer, without_end_is_cut_off) {
  Loop loop;
  RpcClient client({}, loop.clock);
  const QByteArray mebibyte(1 << 20, ' ');
  const RawServer server("HTTP/1.1 200 OK\r\n\r\n" + mebibyte, 64);
  const auto result =
      CallOnce(loop, client, server.Peer(), "echo", "{}", kGenerousMs);
  cr_assert(DetailOf(result.status()).id == ErrorId::kConnectionLost);
}

Test(malformed_bytes, are_answered_with_a_clear_error) {
  const std::string deep(200000, '[');
  for (const std::string& request :
       {std::string(), std::string("\0\xff\xfe", 3), std::string("[[[[1"),
        std::string(R"({"jsonrpc":"2.0","id":1)"),
        R"({"jsonrpc":"2.0","id":1,"method":"echo","params":)" + deep}) {
    cr_assert(Dispatched(request).find("-32700") != std::string::npos);
  }
  cr_assert(Dispatched(R"({"jsonrpc":"2.0","id":1,"method":"none"})")
                .find("-32601") != std::string::npos);
  cr_assert(Dispatched(R"({"method":7})").find("-32600") != std::string::npos);
  cr_assert(Dispatched(R"([{"jsonrpc":"2.0","id":1,"method":"echo"}])")
                .find("-32700") != std::string::npos);
}

Test(malformed_bytes, that_are_not_http_end_the_connection) {
  Loop loop;
  RpcServer server{RpcServerSettings{}};
  const RpcPeer peer = Serve(server);
  const QByteArray answer = SendRaw(loop, peer, "\x16\x03\x01 garbage\r\n\r\n");
  cr_assert(answer.startsWith("HTTP/1.1 400"), "%s", answer.constData());
}

Test(an_oversized_request, is_refused_before_it_is_complete) {
  Loop loop;
  RpcServerSettings settings;
  settings.max_body_bytes = 4096;
  settings.max_header_bytes = 1024;
  RpcServer server(settings);
  const RpcPeer peer = Serve(server);
  const QByteArray head =
      "POST /rpc HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n";
  const QByteArray answer = SendRaw(loop, peer, head + QByteArray(8000, 'x'));
  cr_assert(answer.startsWith("HTTP/1.1 413"));
}

Test(an_unfinished_request, is_dropped_after_the_idle_limit) {
  Loop loop;
  RpcServerSettings settings;
  settings.idle_timeout_ms = 50;
  RpcServer server(settings);
  const RpcPeer peer = Serve(server);
  cr_assert(SendRaw(loop, peer, "POST /rpc HT").startsWith("HTTP/1.1 408"));
}

}  // namespace
}  // namespace meadowthread
