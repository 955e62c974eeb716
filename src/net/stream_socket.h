#ifndef MEADOWTHREAD_NET_STREAM_SOCKET_H_
#define MEADOWTHREAD_NET_STREAM_SOCKET_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/shared_bytes.h"

namespace meadowthread {

/// @brief How a connection ended.
enum class SocketEnd {
  /// The peer closed it in order after the kernel had accepted all bytes
  /// written; all of the peer's bytes were received.
  kFinished,
  /// The connection broke, or ended before all bytes were sent; bytes of the
  /// peer may be missing.
  kReset,
  kConnectFailed,  ///< it was never established; nothing was sent
};

/// @brief Undelivered and unread bytes of a connection, and how long the peer
/// has been silent; -1 if the kernel does not report a value.
struct SocketBacklog {
  std::int64_t unsent = 0;  ///< written, not yet accepted by the kernel
  std::int64_t unacknowledged =
      0;  ///< accepted by the kernel, not yet acknowledged by the peer
  std::int64_t unread = 0;     ///< received from the peer, not yet read
  std::int64_t silent_ms = 0;  ///< since the peer's last acknowledgement
};

/// @brief Receives the events of a connection, on the event loop's thread. Any
/// callback may destroy the socket.
class StreamSocketHandler {
 public:
  virtual ~StreamSocketHandler() = default;

  /// @brief The connection is established.
  virtual void OnConnected() {}

  /// @brief Bytes were received.
  virtual void OnBytes(std::string_view bytes) = 0;

  /// @brief The kernel has accepted all written bytes.
  virtual void OnDrained() {}

  /// @brief The peer has shut down sending.
  /// @return whether pending bytes are still sent before the connection ends
  virtual bool OnFinished() { return false; }

  /// @brief The connection ended; this is the last callback.
  virtual void OnEnded(SocketEnd end) = 0;
};

/// @brief A byte stream to one peer; the destructor closes it immediately.
class StreamSocket {
 public:
  virtual ~StreamSocket() = default;

  /// @brief Sets the receiver of callbacks, which must outlive the socket or be
  /// replaced before.
  virtual void SetHandler(StreamSocketHandler* handler) = 0;

  /// @brief Sends bytes; writes in one turn of the event loop are sent
  /// together.
  virtual void Write(std::string_view bytes) = 0;

  /// @brief Sends bytes as Write does, without a copy where that is possible.
  virtual void WriteShared(const SharedBytes& bytes) { this->Write(bytes); }

  /// @brief Pauses or resumes reading.
  virtual void SetPaused(bool paused) = 0;

  /// @brief Closes in order once all written bytes are sent.
  virtual void CloseWhenDrained() = 0;

  /// @brief Passes pending bytes to the kernel and closes immediately. The
  /// kernel delivers what it accepted even if the process exits, unless the
  /// peer sends more; the rest is lost.
  virtual void CloseNow() = 0;

  /// @brief Breaks the connection so that the peer sees a reset.
  virtual void Abort() = 0;

  /// @brief Bytes written that the kernel has not accepted yet.
  virtual std::int64_t PendingBytes() const = 0;

  /// @brief Bytes that the kernel has accepted; they may have left the host.
  virtual std::int64_t SentBytes() const = 0;

  /// @brief Bytes that are still in transit or in buffers, in either direction.
  virtual SocketBacklog Backlog() const = 0;

  /// @brief Whether the connection is open and has nothing to read.
  virtual bool IsQuiet() const = 0;

  /// @brief The peer's address, for logs and errors.
  virtual std::string Peer() const = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_STREAM_SOCKET_H_
