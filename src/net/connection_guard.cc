#include "net/connection_guard.h"

#include <chrono>

#include "absl/strings/str_cat.h"
#include "base/error.h"
#include "nlohmann/json.hpp"

namespace meadowthread::detail {
namespace {

constexpr int kContentTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kRequestTimeout = 408;

}  // namespace

ConnectionGuard::ConnectionGuard(QTcpSocket* socket, const ServerLimits& limits)
    : QObject(socket), socket(socket), limits(limits) {
  this->body_timer.setSingleShot(true);
  // What the parser does not take at once (a request sent during a stream)
  // stays in the kernel beyond this.
  socket->setReadBufferSize(limits.max_header_bytes + limits.max_body_bytes);
  QObject::connect(socket, &QTcpSocket::readyRead, this,
                   [this] { this->CountArrived(); });
  QObject::connect(&this->body_timer, &QTimer::timeout, this, [this] {
    this->Refuse(kRequestTimeout, static_cast<int>(ErrorId::kBodyLate),
                 "the request was not whole in time");
  });
}

void ConnectionGuard::RequestTaken() {
  this->body_timer.stop();
  this->received = 0;
  this->head.clear();
  this->head_done = false;
}

// Connected before Qt's parser, so that every byte is seen here first.
void ConnectionGuard::CountArrived() {
  if (this->refused) {
    this->socket->readAll();
    return;
  }
  if (!this->body_timer.isActive()) {
    this->body_timer.start(
        std::chrono::milliseconds(this->limits.body_timeout_ms));
  }
  this->received += this->socket->bytesAvailable();
  if (!this->head_done) {
    this->ReadHead();
  }
  const qint64 limit = this->head_done ? this->limits.max_header_bytes +
                                             this->limits.max_body_bytes
                                       : this->limits.max_header_bytes;
  if (this->refused || this->received <= limit) {
    return;
  }
  if (this->head_done) {
    this->Refuse(kContentTooLarge, static_cast<int>(ErrorId::kBodyTooLarge),
                 "the body is longer than its limit");
  } else {
    this->Refuse(kHeaderTooLarge, static_cast<int>(ErrorId::kHeaderTooLarge),
                 "the header is longer than its limit");
  }
}

// The announced length is refused before the body is read.
void ConnectionGuard::ReadHead() {
  this->head += this->socket->peek(this->limits.max_header_bytes);
  const qsizetype end = this->head.indexOf("\r\n\r\n");
  if (end < 0) {
    return;
  }
  this->head_done = true;
  const QByteArray lower = this->head.left(end).toLower();
  this->head.clear();
  const qsizetype at = lower.indexOf("\r\ncontent-length:");
  if (at < 0) {
    return;
  }
  const qsizetype start =
      at + static_cast<qsizetype>(sizeof("\r\ncontent-length:") - 1);
  const qsizetype stop = lower.indexOf("\r\n", start);
  const qint64 length =
      lower.mid(start, stop < 0 ? -1 : stop - start).trimmed().toLongLong();
  if (length > this->limits.max_body_bytes) {
    this->Refuse(kContentTooLarge, static_cast<int>(ErrorId::kBodyTooLarge),
                 "the body is longer than its limit");
  }
}

void ConnectionGuard::Refuse(int http_status, int code, const char* title) {
  this->refused = true;
  this->body_timer.stop();
  const nlohmann::json problem = {
      {"type", absl::StrCat("urn:meadowthread:error:", code)},
      {"title", title},
      {"status", http_status},
      {"code", code},
      {"outcome", "not_run"},
      {"step", "read-request"},
      {"error",
       {{"message", title},
        {"type", "invalid_request_error"},
        {"code", code}}}};
  const std::string body = problem.dump();
  const std::string answer = absl::StrCat(
      "HTTP/1.1 ", http_status, " Refused\r\nContent-Type: ",
      "application/problem+json\r\nConnection: close\r\nContent-Length: ",
      body.size(), "\r\n\r\n", body);
  this->socket->readAll();
  this->socket->write(answer.data(), static_cast<qint64>(answer.size()));
  this->socket->disconnectFromHost();
}

}  // namespace meadowthread::detail
