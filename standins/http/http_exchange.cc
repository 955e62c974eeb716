#include "http/http_exchange.h"

#include <sys/socket.h>

#include <charconv>
#include <utility>

#include "absl/strings/str_cat.h"

namespace meadowthread::standins {
namespace {

void AppendChunk(std::string* out, std::string_view data) {
  char size[sizeof(std::size_t) * 2];
  const auto end =
      std::to_chars(size, size + sizeof(size), data.size(), 16).ptr;
  out->append(size, end);
  out->append("\r\n");
  out->append(data);
  out->append("\r\n");
}

}  // namespace

HttpExchange::HttpExchange(QTcpSocket* socket) : socket(socket) {}

HttpExchange::~HttpExchange() { QObject::disconnect(this->closed_connection); }

void HttpExchange::Send(const Reply& reply) {
  this->answered = true;
  QObject::disconnect(this->closed_connection);
  std::string out = FormatHead(reply);
  absl::StrAppend(&out, "Content-Length: ", reply.body.size(), "\r\n\r\n",
                  reply.body);
  this->Write(out);
}

void HttpExchange::StartStream(std::string_view content_type,
                               std::string_view first) {
  Reply reply;
  reply.content_type = content_type;
  reply.headers.push_back({"Cache-Control", "no-store"});
  reply.headers.push_back({"Transfer-Encoding", "chunked"});
  this->frame = FormatHead(reply);
  this->frame.append("\r\n");
  AppendChunk(&this->frame, first);
  this->Write(this->frame);
}

void HttpExchange::SendChunk(std::string_view data) {
  this->frame.clear();
  AppendChunk(&this->frame, data);
  this->Write(this->frame);
}

void HttpExchange::EndStream() {
  this->answered = true;
  QObject::disconnect(this->closed_connection);
  this->Write("0\r\n\r\n");
}

void HttpExchange::EndStreamAndClose() {
  this->EndStream();
  if (this->socket != nullptr) {
    this->socket->disconnectFromHost();
  }
}

void HttpExchange::Abort() {
  this->answered = true;
  QObject::disconnect(this->closed_connection);
  if (this->socket != nullptr) {
    this->socket->abort();
  }
}

void HttpExchange::SetCorked(bool is_corked) {
  this->corked = is_corked;
  if (!is_corked && !this->corked_data.empty()) {
    this->Write(std::exchange(this->corked_data, {}));
  }
}

bool HttpExchange::IsOpen() const {
  return this->socket != nullptr &&
         this->socket->state() == QAbstractSocket::ConnectedState;
}

std::int64_t HttpExchange::PendingBytes() const {
  const std::int64_t queued =
      this->socket == nullptr ? 0 : this->socket->bytesToWrite();
  return queued + static_cast<std::int64_t>(this->corked_data.size());
}

void HttpExchange::OnClosed(std::function<void()> callback) {
  QObject::disconnect(this->closed_connection);
  if (this->socket != nullptr) {
    this->closed_connection =
        QObject::connect(this->socket, &QTcpSocket::disconnected,
                         [callback = std::move(callback)] { callback(); });
  }
}

void HttpExchange::Write(std::string_view data) {
  if (!this->IsOpen()) {
    return;
  }
  if (this->corked) {
    this->corked_data.append(data);
    return;
  }
  // Write to the socket directly while Qt has nothing buffered: this saves a
  // pass through Qt's buffer and write notifier for each token.
  std::size_t sent = 0;
  if (this->socket->bytesToWrite() == 0) {
    const auto handle = static_cast<int>(this->socket->socketDescriptor());
    const ssize_t count =
        ::send(handle, data.data(), data.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    sent = count > 0 ? static_cast<std::size_t>(count) : 0;
  }
  if (sent < data.size()) {
    this->socket->write(data.data() + sent,
                        static_cast<qint64>(data.size() - sent));
  }
}

}  // namespace meadowthread::standins
