#include "net/qt_socket.h"

#include <QHostAddress>
#include <QMetaObject>
#include <QPointer>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "net/kernel_queues.h"

namespace meadowthread {
namespace {

// Interval between checks whether the peer has acknowledged everything; a round
// trip between availability zones takes 2 ms.
constexpr std::chrono::milliseconds kDrainCheckPeriod{5};

}  // namespace

QtSocket::QtSocket(const PeerAddress& peer)
    : socket(std::make_unique<QSslSocket>()) {
  this->ConnectSignals();
  const QString host = QString::fromStdString(peer.host);
  if (peer.tls) {
    this->socket->connectToHostEncrypted(host, peer.port);
  } else {
    this->socket->connectToHost(host, peer.port);
  }
}

QtSocket::QtSocket(std::unique_ptr<QSslSocket> accepted)
    : socket(std::move(accepted)), established(true) {
  this->ConnectSignals();
  // Data received together with the last handshake record is already buffered
  // and is not signalled by readyRead.
  QMetaObject::invokeMethod(
      this, [this] { this->Read(); }, Qt::QueuedConnection);
}

QtSocket::~QtSocket() {
  this->handler = nullptr;
  this->socket->disconnect(this);
  this->socket->abort();
}

void QtSocket::ConnectSignals() {
  QSslSocket* const from = this->socket.get();
  from->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  const auto report_connected = [this] {
    const bool waits_for_tls =
        this->socket->mode() != QSslSocket::UnencryptedMode &&
        !this->socket->isEncrypted();
    if (!this->established && !waits_for_tls && this->handler != nullptr) {
      this->established = true;
      this->probe.Open(static_cast<int>(this->socket->socketDescriptor()));
      this->handler->OnConnected();
    }
  };
  QObject::connect(from, &QSslSocket::connected, this, report_connected);
  QObject::connect(from, &QSslSocket::encrypted, this, report_connected);
  QObject::connect(from, &QSslSocket::readyRead, this,
                   [this] { this->Read(); });
  QObject::connect(from, &QSslSocket::bytesWritten, this, [this](qint64 count) {
    this->sent += count;
    if (this->PendingBytes() == 0 && this->handler != nullptr) {
      this->handler->OnDrained();
    }
  });
  QObject::connect(from, &QSslSocket::errorOccurred, this,
                   [this](QAbstractSocket::SocketError error) {
                     this->failed =
                         error != QAbstractSocket::RemoteHostClosedError;
                     if (!this->established) {
                       this->End(SocketEnd::kConnectFailed);
                     }
                   });
  QObject::connect(from, &QSslSocket::disconnected, this, [this] {
    // Qt reports a reset like a connection that was closed in order.
    const bool broken =
        this->failed || this->sent < this->written || this->probe.IsBroken();
    this->probe.Close();
    this->End(broken ? SocketEnd::kReset : SocketEnd::kFinished);
  });
}

void QtSocket::Write(std::string_view bytes) {
  if (!this->ended) {
    this->written += static_cast<std::int64_t>(bytes.size());
    this->socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
  }
}

void QtSocket::SetPaused(bool is_paused) {
  this->paused = is_paused;
  // Qt buffers up to this much while paused; TCP flow control then stops the
  // peer.
  constexpr qint64 kPausedBufferBytes = 65'536;
  this->socket->setReadBufferSize(is_paused ? kPausedBufferBytes : 0);
  if (!is_paused) {
    QMetaObject::invokeMethod(
        this, [this] { this->Read(); }, Qt::QueuedConnection);
  }
}

void QtSocket::Read() {
  if (this->paused || this->ended || this->handler == nullptr) {
    return;
  }
  const QByteArray bytes = this->socket->readAll();
  if (!bytes.isEmpty() && !this->closing) {
    this->handler->OnBytes(
        {bytes.data(), static_cast<std::size_t>(bytes.size())});
  }
}

// Qt would close as soon as the kernel has accepted all bytes. If received
// bytes are unread, closing sends a reset and the kernel discards undelivered
// bytes. So received bytes are read and discarded until the peer has
// acknowledged everything.
void QtSocket::CloseWhenDrained() {
  if (this->ended || this->closing) {
    return;
  }
  this->closing = true;
  QObject::connect(&this->drain_timer, &QTimer::timeout, this, [this] {
    const SocketBacklog left = this->Backlog();
    if (left.unsent == 0 && left.unacknowledged <= 0) {
      this->drain_timer.stop();
      this->socket->readAll();
      this->socket->disconnectFromHost();
    }
  });
  this->drain_timer.start(kDrainCheckPeriod);
}

void QtSocket::CloseNow() {
  this->ended = true;
  this->handler = nullptr;
  this->drain_timer.stop();
  this->socket->flush();
  const auto descriptor = static_cast<int>(this->socket->socketDescriptor());
  if (descriptor >= 0) {
    FinishBeforeClose(descriptor);
  }
  this->probe.Close();
  this->socket->abort();
}

void QtSocket::Abort() {
  this->ended = true;
  this->probe.Close();
  this->socket->abort();
}

std::int64_t QtSocket::PendingBytes() const {
  return this->socket->bytesToWrite() + this->socket->encryptedBytesToWrite();
}

SocketBacklog QtSocket::Backlog() const {
  const KernelQueues queues =
      KernelQueuesOf(static_cast<int>(this->socket->socketDescriptor()));
  return {this->PendingBytes(), queues.unacknowledged, queues.unread,
          queues.silent_ms};
}

std::string QtSocket::Peer() const {
  return absl::StrCat(this->socket->peerAddress().toString().toStdString(), ":",
                      this->socket->peerPort());
}

void QtSocket::End(SocketEnd end) {
  if (this->ended) {
    return;
  }
  this->Read();
  this->ended = true;
  StreamSocketHandler* const told = std::exchange(this->handler, nullptr);
  if (told != nullptr) {
    told->OnEnded(end);
  }
}

}  // namespace meadowthread
