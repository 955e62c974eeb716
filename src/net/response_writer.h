#ifndef MEADOWTHREAD_NET_RESPONSE_WRITER_H_
#define MEADOWTHREAD_NET_RESPONSE_WRITER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_client.h"

namespace meadowthread {

namespace detail {
class ServerConnection;
}  // namespace detail

/// @brief A status and body to be sent in one piece.
struct WholeResponse {
  int http_status = 200;
  std::string content_type = "application/json";
  std::vector<HttpHeader> headers;
  std::string body;
};

/// @brief The head of an answer whose body follows in pieces.
struct ResponseHead {
  int http_status = 200;
  std::vector<HttpHeader> headers;  ///< without those of the framing
  std::optional<std::uint64_t> content_length;  ///< chunked where not known
};

/// @brief Answers one request: in one piece, or piece by piece.
///
/// What is written within one turn of the event loop leaves together. The
/// connection takes its next request once the answer is whole.
class ResponseWriter {
 public:
  explicit ResponseWriter(std::weak_ptr<detail::ServerConnection> connection);
  /// @brief An answer that is not whole by now breaks the connection.
  ~ResponseWriter();
  ResponseWriter(const ResponseWriter&) = delete;
  ResponseWriter& operator=(const ResponseWriter&) = delete;

  /////////////////////
  // Writing an answer
  /////////////////////

  /// @brief Sends a whole answer; nothing may be written afterwards.
  void SendWhole(const WholeResponse& response);

  /// @brief Sends the head of a streamed answer.
  void StartStream(int http_status, std::string_view content_type,
                   std::span<const HttpHeader> headers);

  /// @brief Sends the head of an answer that is passed on.
  void StartAnswer(const ResponseHead& head);

  /// @brief Appends to the answer's body.
  void Write(std::string_view data);

  /// @brief Ends the answer; one shorter than its length breaks the
  /// connection instead.
  void FinishStream();

  /// @brief Breaks the connection, so that the answer can't look whole.
  void Abort();

  //////////////////////////
  // The caller's connection
  //////////////////////////

  /// @brief Tells logs whose answer it is.
  void NameAnswer(std::string_view request);

  /// @brief Bytes accepted and not yet taken by the caller's connection.
  std::int64_t PendingBytes() const;

  /// @brief Whether the caller is gone.
  bool IsClosed() const;

  /// @brief Called once when the caller goes away before the answer is whole.
  void OnClosed(std::function<void()> told);

  /// @brief Called whenever the connection has taken all bytes.
  void OnDrained(std::function<void()> told);

 private:
  std::weak_ptr<detail::ServerConnection> connection;
  bool started = false;
  bool ended = false;
  bool chunked = false;
  std::uint64_t left = 0;  ///< of an announced length
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_RESPONSE_WRITER_H_
