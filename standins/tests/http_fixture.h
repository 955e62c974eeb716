#ifndef MEADOWTHREAD_STANDINS_TESTS_HTTP_FIXTURE_H_
#define MEADOWTHREAD_STANDINS_TESTS_HTTP_FIXTURE_H_

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QHostAddress>
#include <QTcpSocket>
#include <functional>
#include <string>

#include "http/http_listener.h"

namespace meadowthread::standins {

/// @brief Runs the event loop until `holds` returns true, for at most 20 s.
/// @return whether it did
inline bool WaitFor(const std::function<bool()>& holds) {
  constexpr qint64 kLimitMs = 20'000;
  QElapsedTimer timer;
  timer.start();
  while (!holds() && timer.elapsed() < kLimitMs) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
  }
  return holds();
}

/// @brief A client that sends raw HTTP and collects the bytes it receives.
class RawClient {
 public:
  explicit RawClient(std::uint16_t port) {
    this->socket.connectToHost(QHostAddress::LocalHost, port);
    QObject::connect(
        &this->socket, &QTcpSocket::readyRead, &this->socket,
        [this] { this->text += this->socket.readAll().toStdString(); });
  }

  /// @brief Sends one request.
  void Send(const std::string& method, const std::string& path,
            const std::string& body = "", const std::string& header = "") {
    const std::string request =
        method + " " + path + " HTTP/1.1\r\nHost: x\r\n" + header +
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    this->socket.write(request.data(), static_cast<qint64>(request.size()));
  }

  bool Got(const std::string& part) const {
    return this->text.find(part) != std::string::npos;
  }

  /// @brief Whether a complete response with a Content-Length has arrived.
  bool IsAnswered() const {
    const std::string mark = "Content-Length: ";
    const std::size_t at = this->text.find(mark);
    const std::size_t end = this->text.find("\r\n\r\n");
    if (at == std::string::npos || end == std::string::npos) {
      return false;
    }
    const std::size_t length = std::stoul(this->text.substr(at + mark.size()));
    return this->text.size() >= end + 4 + length;
  }

  bool IsClosed() const {
    return this->socket.state() == QAbstractSocket::UnconnectedState;
  }

  std::string text;
  QTcpSocket socket;
};

}  // namespace meadowthread::standins

#endif  // MEADOWTHREAD_STANDINS_TESTS_HTTP_FIXTURE_H_
