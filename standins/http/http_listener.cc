#include "http/http_listener.h"

#include <QHostAddress>
#include <QHttpServerRequest>
#include <QMetaEnum>
#include <QTcpServer>
#include <QUrlQuery>
#include <iostream>

namespace meadowthread::standins {
namespace {

constexpr int kListenBacklog = 4096;

std::string Decoded(const QByteArray& encoded) {
  return QByteArray::fromPercentEncoding(encoded).toStdString();
}

std::string MethodName(QHttpServerRequest::Method method) {
  const auto names = QMetaEnum::fromType<QHttpServerRequest::Method>();
  return QByteArray(names.valueToKey(static_cast<int>(method)))
      .toUpper()
      .toStdString();
}

void ReadPath(const QUrl& url, Request* request) {
  const QByteArray path = url.path(QUrl::FullyEncoded).toUtf8();
  request->path = path.toStdString();
  for (const QByteArray& part : path.split('/')) {
    if (!part.isEmpty()) {
      request->segments.push_back(Decoded(part));
    }
  }
}

void ReadQuery(const QUrl& url, Request* request) {
  request->raw_query = url.query(QUrl::FullyEncoded).toStdString();
  const auto items = QUrlQuery(url).queryItems(QUrl::FullyEncoded);
  for (const auto& item : items) {
    request->query.push_back(
        {Decoded(item.first.toUtf8()), Decoded(item.second.toUtf8())});
  }
}

Request ReadRequest(const QHttpServerRequest& source) {
  Request request;
  request.method = MethodName(source.method());
  request.body = source.body().toStdString();
  ReadPath(source.url(), &request);
  ReadQuery(source.url(), &request);
  const auto headers = source.headers();
  for (const auto& header : headers) {
    request.headers.push_back(
        {header.first.toStdString(), header.second.toStdString()});
  }
  return request;
}

}  // namespace

std::uint16_t HttpListener::Listen(const std::string& address,
                                   std::uint16_t port, std::string_view role,
                                   std::string_view name) {
  // The server that listen() creates has a backlog of only 50 connections; the
  // kernel drops further ones, and their clients retry only a second later.
  auto server = std::make_unique<QTcpServer>();
  server->setListenBacklogSize(kListenBacklog);
  if (!server->listen(QHostAddress(QString::fromStdString(address)), port)) {
    return 0;
  }
  const std::uint16_t actual = server->serverPort();
  this->bind(server.release());
  std::cout << "ready role=" << role << " name=" << name << " port=" << actual
            << std::endl;
  return actual;
}

bool HttpListener::handleRequest(const QHttpServerRequest& request,
                                 QTcpSocket* socket) {
  const auto known = this->latest.find(socket);
  if (known == this->latest.end()) {
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    QObject::connect(socket, &QObject::destroyed, this,
                     [this, socket] { this->latest.erase(socket); });
  } else if (const ExchangePtr before = known->second.lock();
             before != nullptr && !before->IsAnswered()) {
    // Pipelining is not supported, as the responses would interleave: a request
    // that arrives before the previous response is complete closes the
    // connection.
    socket->abort();
    return true;
  }
  const auto exchange = std::make_shared<HttpExchange>(socket);
  this->latest[socket] = exchange;
  this->service->Handle(ReadRequest(request), exchange);
  return true;
}

void HttpListener::missingHandler(const QHttpServerRequest& /*request*/,
                                  QTcpSocket* socket) {
  socket->abort();
}

}  // namespace meadowthread::standins
