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
  std::string method;   ///< requests: as sent, known or not
  std::string target;   ///< requests: as sent, byte for byte
  int http_status = 0;  ///< answers
  int version = 11;     ///< 10 or 11
  std::vector<HttpHeader> headers;
  std::optional<std::uint64_t> content_length;  ///< where one is announced
  bool chunked = false;
  bool keep_alive = false;   ///< the connection may be used again
  bool until_close = false;  ///< the body ends with the connection
};

/// @brief How far a message has come.
enum class ReadState { kMore, kWhole, kMalformed, kHeadTooLarge };

/// @brief Which messages are read.
enum class MessageKind { kRequest, kAnswer };

namespace detail {
class MessageParser;
}  // namespace detail

/// @brief Cuts a byte stream into HTTP/1 messages, strictly: whatever two
/// readers could take in two ways is malformed.
class MessageReader {
 public:
  /// @param[in] head_limit most bytes of a start line with its headers
  MessageReader(MessageKind kind, std::size_t head_limit);
  ~MessageReader();
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  /// @brief Takes the next bytes.
  ReadState Feed(std::string_view bytes);

  /// @brief The connection ended in order: whole where the body ends so.
  ReadState FeedEnd();

  /// @brief The head, null until it is whole.
  const MessageHead* Head() const;

  /// @brief The body's bytes that came since the last call.
  std::string TakeBody();

  /// @brief What was malformed, for people.
  const std::string& Problem() const { return this->problem; }

  /// @brief Begins with a new message.
  /// @param[in] no_body the answer to a HEAD request: its body never comes
  void ExpectNoBody(bool no_body);

  /// @brief Bytes that came after a whole message.
  std::size_t RestBytes() const;

  /// @brief Goes on with the next message, with what came after this one.
  ReadState Next();

 private:
  ReadState Parse();
  ReadState Malformed(std::string_view what);
  ReadState CheckHeadBytes();
  ReadState CheckFraming();

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
