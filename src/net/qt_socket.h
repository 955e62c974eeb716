#ifndef MEADOWTHREAD_NET_QT_SOCKET_H_
#define MEADOWTHREAD_NET_QT_SOCKET_H_

#include <QObject>
#include <QSslSocket>
#include <QTimer>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "net/connection_probe.h"
#include "net/stream_socket.h"

namespace meadowthread {

/// @brief The address of a peer, by host name or IP address.
struct PeerAddress {
  std::string host;
  std::uint16_t port = 0;
  bool tls = false;
};

/// @brief A connection through QSslSocket, for TLS or for a peer given by host
/// name.
class QtSocket final : public QObject, public StreamSocket {
 public:
  /// @brief Starts to connect.
  explicit QtSocket(const PeerAddress& peer);

  /// @brief Takes over an accepted connection whose TLS handshake is complete.
  explicit QtSocket(std::unique_ptr<QSslSocket> accepted);
  ~QtSocket() override;
  QtSocket(const QtSocket&) = delete;
  QtSocket& operator=(const QtSocket&) = delete;

  void SetHandler(StreamSocketHandler* told) override { this->handler = told; }
  void Write(std::string_view bytes) override;
  void SetPaused(bool is_paused) override;
  void CloseWhenDrained() override;
  void CloseNow() override;
  void Abort() override;
  std::int64_t PendingBytes() const override;
  std::int64_t SentBytes() const override { return this->sent; }
  SocketBacklog Backlog() const override;
  bool IsQuiet() const override {
    return !this->ended && this->socket->bytesAvailable() == 0;
  }
  std::string Peer() const override;

 private:
  void ConnectSignals();
  void Read();
  void End(SocketEnd end);

  std::unique_ptr<QSslSocket> socket;
  ConnectionProbe probe;
  StreamSocketHandler* handler = nullptr;
  std::int64_t written = 0;
  std::int64_t sent = 0;
  bool established = false;
  bool paused = false;
  bool ended = false;
  bool failed = false;
  bool closing = false;
  QTimer drain_timer;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_QT_SOCKET_H_
