#ifndef MEADOWTHREAD_NET_PLAIN_SOCKET_H_
#define MEADOWTHREAD_NET_PLAIN_SOCKET_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "net/output_queue.h"
#include "net/socket_poller.h"
#include "net/stream_socket.h"

namespace meadowthread {

/// @brief A non-blocking IPv4 TCP connection without TLS.
///
/// Doesn't use QTcpSocket, which reports a reset as an orderly close and
/// doesn't tell how much of a request was sent.
class PlainSocket final : public StreamSocket, private PolledSocket {
 public:
  /// @brief Starts to connect.
  /// @param[in] poller outlives the socket
  /// @param[in] address an IPv4 address
  /// @return an error if the address is not valid or the socket can't be opened
  static absl::StatusOr<std::unique_ptr<PlainSocket>> Connect(
      SocketPoller& poller, const std::string& address, std::uint16_t port);

  /// @brief Takes over an accepted connection.
  PlainSocket(SocketPoller& poller, int descriptor, bool connected);
  ~PlainSocket() override;
  PlainSocket(const PlainSocket&) = delete;
  PlainSocket& operator=(const PlainSocket&) = delete;

  void SetHandler(StreamSocketHandler* told) override { this->handler = told; }
  void Write(std::string_view bytes) override;
  void WriteShared(const SharedBytes& bytes) override;
  void SetPaused(bool is_paused) override;
  void CloseWhenDrained() override;
  void CloseNow() override;
  void Abort() override;
  std::int64_t PendingBytes() const override;
  std::int64_t SentBytes() const override { return this->sent; }
  SocketBacklog Backlog() const override;
  bool IsQuiet() const override;
  std::string Peer() const override;

 private:
  void OnEvents(std::uint32_t events) override;
  void Flush() override;

  void FinishConnect();
  void Read();
  bool MayWrite() const { return this->descriptor >= 0 && !this->closing; }
  void PlanFlush();
  void SendPending();
  bool HasSentAll() const;
  void End(SocketEnd end);
  void Close();
  void UpdateWatchedEvents();

  SocketPoller& poller;
  int descriptor;
  StreamSocketHandler* handler = nullptr;
  OutputQueue out;
  std::int64_t sent = 0;
  bool connected;
  bool paused = false;
  bool closing = false;
  bool peer_finished = false;
  bool send_failed = false;
  bool flush_planned = false;
  std::uint32_t watched = 0;
  /// Lets methods detect that a callback of the handler destroyed the socket.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_PLAIN_SOCKET_H_
