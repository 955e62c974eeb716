#ifndef MEADOWTHREAD_NET_STREAM_SOCKET_H_
#define MEADOWTHREAD_NET_STREAM_SOCKET_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace meadowthread {

/// @brief How a connection came to its end.
enum class SocketEnd {
  kFinished,       ///< the peer closed it in order: all its bytes came
  kReset,          ///< it broke: bytes may be missing
  kConnectFailed,  ///< it never stood: nothing was sent
};

/// @brief Bytes of a connection that one of its ends has not taken yet, and how
/// long the peer is silent; -1 where the kernel does not tell.
struct SocketBacklog {
  std::int64_t unsent = 0;          ///< written, not yet taken by the kernel
  std::int64_t unacknowledged = 0;  ///< taken, not yet at the peer's kernel
  std::int64_t unread = 0;          ///< came from the peer, not yet read
  std::int64_t silent_ms = 0;       ///< since the peer last acknowledged any
};

/// @brief Told what happens on a connection, on the event loop's thread. Any
/// of these calls may destroy the socket.
class StreamSocketHandler {
 public:
  virtual ~StreamSocketHandler() = default;

  /// @brief The connection that was asked for stands.
  virtual void OnConnected() {}

  /// @brief Bytes came.
  virtual void OnBytes(std::string_view bytes) = 0;

  /// @brief All that was written has been taken by the kernel.
  virtual void OnDrained() {}

  /// @brief The peer sends no more.
  /// @return whether it is to get what is written before the connection ends
  virtual bool OnFinished() { return false; }

  /// @brief It is over; nothing follows.
  virtual void OnEnded(SocketEnd end) = 0;
};

/// @brief A byte stream to one peer; its destructor closes it at once.
class StreamSocket {
 public:
  virtual ~StreamSocket() = default;

  /// @brief Who is told from now on; outlives the socket or is replaced.
  virtual void SetHandler(StreamSocketHandler* handler) = 0;

  /// @brief Sends bytes; those written in one turn of the loop leave together.
  virtual void Write(std::string_view bytes) = 0;

  /// @brief Stops or goes on reading.
  virtual void SetPaused(bool paused) = 0;

  /// @brief Closes in order once everything written has left.
  virtual void CloseWhenDrained() = 0;

  /// @brief Gives the kernel all that it takes, and closes: the kernel delivers
  /// it also when the process ends, unless the peer sends more. What it doesn't
  /// take is lost.
  virtual void CloseNow() = 0;

  /// @brief Breaks the connection so that the peer sees a reset.
  virtual void Abort() = 0;

  /// @brief Bytes written that the kernel has not taken yet.
  virtual std::int64_t PendingBytes() const = 0;

  /// @brief Bytes that the kernel has taken: they may have left the host.
  virtual std::int64_t SentBytes() const = 0;

  /// @brief What is still on its way, in either direction.
  virtual SocketBacklog Backlog() const = 0;

  /// @brief Whether nothing waits to be read, not even the connection's end.
  virtual bool IsQuiet() const = 0;

  /// @brief The peer's address, for logs and errors.
  virtual std::string Peer() const = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_STREAM_SOCKET_H_
