#include "exchange/bounded_listener.h"

namespace meadowthread::detail {

BoundedSocket::BoundedSocket(const ConnectionBounds& socket_bounds,
                             QObject* parent)
    : QTcpSocket(parent), bounds(socket_bounds), idle_timer(this) {
  // Connected before the HTTP server connects, so that it counts first.
  QObject::connect(this, &QTcpSocket::readyRead, this,
                   &BoundedSocket::CountBytes);
  QObject::connect(&this->idle_timer, &QTimer::timeout, this,
                   &BoundedSocket::Drop);
  this->idle_timer.start(this->bounds.idle_limit_ms);
}

void BoundedSocket::RequestTaken() {
  this->request_bytes = 0;
  this->idle_timer.start(this->bounds.idle_limit_ms);
}

void BoundedSocket::CountBytes() {
  this->request_bytes += this->bytesAvailable();
  if (this->request_bytes > this->bounds.max_request_bytes) {
    this->Refuse("413 Payload Too Large");
  }
}

// The HTTP server closes an unfinished request only where it is no HTTP.
void BoundedSocket::disconnectFromHost() {
  if (this->request_bytes > 0 && this->state() == ConnectedState) {
    this->Refuse("400 Bad Request");
    return;
  }
  QTcpSocket::disconnectFromHost();
}

void BoundedSocket::Refuse(const QByteArray& status_line) {
  if (this->refused) {
    return;
  }
  this->refused = true;
  this->write("HTTP/1.1 " + status_line +
              "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  this->flush();
  // Later: the HTTP server may still be reading this socket.
  QTimer::singleShot(0, this, &BoundedSocket::Drop);
}

void BoundedSocket::Drop() {
  this->refused = true;
  this->abort();
  this->deleteLater();
}

BoundedListener::BoundedListener(const ConnectionBounds& listener_bounds,
                                 QObject* parent)
    : QTcpServer(parent), bounds(listener_bounds) {}

void BoundedListener::incomingConnection(qintptr descriptor) {
  auto* socket = new BoundedSocket(this->bounds, this);
  if (!socket->setSocketDescriptor(descriptor) ||
      this->connections >= this->bounds.max_connections) {
    delete socket;
    return;
  }
  ++this->connections;
  QObject::connect(socket, &QObject::destroyed, this,
                   [this] { --this->connections; });
  this->addPendingConnection(socket);
}

}  // namespace meadowthread::detail
