#include "net/response_writer.h"

#include <sys/socket.h>

#include <QMetaObject>
#include <QSslSocket>
#include <utility>

#include "absl/strings/str_cat.h"

namespace meadowthread {
namespace {

constexpr std::string_view kLastChunk = "0\r\n\r\n";

QByteArray Bytes(std::string_view text) {
  return {text.data(), static_cast<qsizetype>(text.size())};
}

QHttpServerResponder::StatusCode Code(int http_status) {
  return static_cast<QHttpServerResponder::StatusCode>(http_status);
}

}  // namespace

ResponseWriter::ResponseWriter(QHttpServerResponder&& responder,
                               QTcpSocket* socket)
    : responder(std::move(responder)),
      socket(socket),
      plain(qobject_cast<QSslSocket*>(socket) == nullptr) {
  QObject::connect(socket, &QTcpSocket::disconnected, this, [this] {
    if (this->closed_told && !this->ended) {
      std::exchange(this->closed_told, nullptr)();
    }
  });
  QObject::connect(socket, &QTcpSocket::bytesWritten, this, [this](qint64) {
    if (this->drained_told) {
      this->drained_told();
    }
  });
}

ResponseWriter::~ResponseWriter() { this->Flush(); }

void ResponseWriter::SendWhole(const WholeResponse& response) {
  if (this->IsClosed() || this->ended) {
    return;
  }
  this->ended = true;
  this->responder.writeStatusLine(Code(response.http_status));
  this->responder.writeHeader("Content-Type", Bytes(response.content_type));
  this->responder.writeHeader("Content-Length",
                              QByteArray::number(response.body.size()));
  for (const HttpHeader& header : response.headers) {
    this->responder.writeHeader(Bytes(header.name), Bytes(header.value));
  }
  this->responder.writeBody(Bytes(response.body));
}

void ResponseWriter::StartStream(int http_status, std::string_view content_type,
                                 std::span<const HttpHeader> headers) {
  if (this->IsClosed()) {
    return;
  }
  this->streaming = true;
  this->responder.writeStatusLine(Code(http_status));
  this->responder.writeHeader("Content-Type", Bytes(content_type));
  this->responder.writeHeader("Transfer-Encoding", "chunked");
  this->responder.writeHeader("Cache-Control", "no-store");
  for (const HttpHeader& header : headers) {
    this->responder.writeHeader(Bytes(header.name), Bytes(header.value));
  }
  // An empty body ends the head; the chunks are written to the socket itself.
  this->responder.writeBody(QByteArray());
}

void ResponseWriter::Write(std::string_view data) {
  if (!this->streaming || this->ended) {
    return;
  }
  this->pending.append(data);
  if (this->flush_planned) {
    return;
  }
  this->flush_planned = true;
  QMetaObject::invokeMethod(
      this, [this] { this->Flush(); }, Qt::QueuedConnection);
}

void ResponseWriter::Flush() {
  this->flush_planned = false;
  if (this->pending.empty() || this->IsClosed()) {
    return;
  }
  const std::string chunk = absl::StrCat(absl::Hex(this->pending.size()),
                                         "\r\n", this->pending, "\r\n");
  this->pending.clear();
  std::string_view rest = chunk;
  if (this->plain && this->socket->bytesToWrite() == 0) {
    rest.remove_prefix(this->SendDirect(rest));
  }
  if (!rest.empty()) {
    this->socket->write(rest.data(), static_cast<qint64>(rest.size()));
  }
}

// Past Qt's buffer, which costs a further turn of the event loop for each
// write. Only while that buffer is empty, so that nothing is overtaken.
std::size_t ResponseWriter::SendDirect(std::string_view data) {
  const ssize_t sent =
      ::send(static_cast<int>(this->socket->socketDescriptor()), data.data(),
             data.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  return sent > 0 ? static_cast<std::size_t>(sent) : 0;
}

void ResponseWriter::FinishStream() {
  if (!this->streaming || this->ended) {
    return;
  }
  this->Flush();
  this->ended = true;
  if (!this->IsClosed()) {
    this->socket->write(kLastChunk.data(),
                        static_cast<qint64>(kLastChunk.size()));
  }
}

void ResponseWriter::Abort() {
  this->ended = true;
  this->pending.clear();
  if (!this->socket.isNull()) {
    this->socket->abort();
  }
}

std::int64_t ResponseWriter::PendingBytes() const {
  const std::int64_t in_socket =
      this->IsClosed() ? 0 : this->socket->bytesToWrite();
  return in_socket + static_cast<std::int64_t>(this->pending.size());
}

bool ResponseWriter::IsClosed() const {
  return this->socket.isNull() ||
         this->socket->state() != QAbstractSocket::ConnectedState;
}

}  // namespace meadowthread
