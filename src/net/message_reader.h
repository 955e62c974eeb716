#ifndef MEADOWTHREAD_NET_MESSAGE_READER_H_
#define MEADOWTHREAD_NET_MESSAGE_READER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_client.h"

namespace meadowthread {

/// @brief The start line and headers of an HTTP/1 message.
struct MessageHead {
  std::string
      method;  ///< requests only: as sent, also if it is not a standard method
  std::string target;   ///< requests only: as sent, byte for byte
  int http_status = 0;  ///< responses only
  int version = 11;     ///< 10 or 11
  std::vector<HttpHeader> headers;
  std::optional<std::uint64_t>
      content_length;  ///< if the message has a Content-Length
  bool chunked = false;
  bool keep_alive = false;   ///< the connection stays open after this message
  bool until_close = false;  ///< the body ends when the connection is closed
};

/// @brief State of reading a message.
enum class ReadState { kMore, kWhole, kMalformed, kHeadTooLarge };

/// @brief Whether requests or responses are read.
enum class MessageKind { kRequest, kResponse };

namespace detail {
class MessageParser;
}  // namespace detail

/// @brief Incremental parser that splits a byte stream into HTTP/1 messages. It
/// is strict: a message whose framing two implementations could read
/// differently is malformed (request smuggling).
class MessageReader {
 public:
  /// @param[in] head_limit largest size of the start line and headers, in bytes
  MessageReader(MessageKind kind, std::size_t head_limit);
  ~MessageReader();
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  /// @brief Replaces the largest size of the start line and headers, also for
  /// a head that has begun to arrive.
  void SetHeadLimit(std::size_t bytes) { this->head_limit = bytes; }

  /// @brief Parses the next bytes.
  ReadState Feed(std::string_view bytes);

  /// @brief Signals that the peer closed the connection; completes a body that
  /// ends with the connection.
  ReadState FeedEnd();

  /// @brief The head; null until it is complete.
  const MessageHead* Head() const;

  /// @brief Returns the bytes of the body received since the last call.
  std::string TakeBody();

  /// @brief A description of what was malformed.
  const std::string& Problem() const { return this->problem; }

  /// @brief Starts a new message.
  /// @param[in] no_body the message is the response to a HEAD request and has
  /// no body
  void ExpectNoBody(bool no_body);

  /// @brief Number of received bytes that follow a complete message.
  std::size_t RestBytes() const;

  /// @brief Starts the next message and parses the bytes already received for
  /// it.
  ReadState Next();

 private:
  ReadState Parse();
  ReadState Malformed(std::string_view what);
  ReadState CheckHeadBytes();
  ReadState CheckFraming();
  void FreePending();

  MessageKind kind;
  std::size_t head_limit;
  std::unique_ptr<detail::MessageParser> parser;
  std::string pending;
  std::string problem;
  bool no_body = false;
  ReadState state = ReadState::kMore;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_MESSAGE_READER_H_
