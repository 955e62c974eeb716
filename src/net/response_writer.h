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

/// @brief A complete response to send: status, headers and body.
struct ServerResponse {
  int http_status = 200;
  std::string content_type = "application/json";
  std::vector<HttpHeader> headers;
  std::string body;
};

/// @brief The head of a response whose body is streamed.
struct ResponseHead {
  int http_status = 200;
  std::vector<HttpHeader>
      headers;  ///< without Content-Length and Transfer-Encoding
  std::optional<std::uint64_t> content_length;  ///< chunked if absent
};

/// @brief Writes the response to one request, at once or as a stream.
///
/// Writes within one turn of the event loop are sent together. The connection
/// reads its next request when the response is complete.
class ResponseWriter {
 public:
  explicit ResponseWriter(std::weak_ptr<detail::ServerConnection> connection);
  /// @brief Breaks the connection if the response is not complete.
  ~ResponseWriter();
  ResponseWriter(const ResponseWriter&) = delete;
  ResponseWriter& operator=(const ResponseWriter&) = delete;

  /////////////////////
  // Writing a response
  /////////////////////

  /// @brief Sends a complete response; nothing may be written afterwards.
  void SendWhole(const ServerResponse& response);

  /// @brief Sends the head of a streamed response with Cache-Control: no-store.
  void StartStream(int http_status, std::string_view content_type,
                   std::span<const HttpHeader> headers);

  /// @brief Sends a response head as given, such as that of a relayed response.
  void StartResponse(const ResponseHead& head);

  /// @brief Appends to the response body.
  void Write(std::string_view data);

  /// @brief Completes the response; breaks the connection if the body is
  /// shorter than the announced length.
  void FinishStream();

  /// @brief Breaks the connection, so that the client can't take the response
  /// for complete.
  void Abort();

  /////////////////////////////////
  // State of the client connection
  /////////////////////////////////

  /// @brief Sets the request id that log lines about this response show.
  void SetRequestId(std::string_view request);

  /// @brief Bytes written that the kernel has not accepted yet.
  std::int64_t PendingBytes() const;

  /// @brief Whether the client's connection has ended.
  bool IsClosed() const;

  /// @brief Sets a callback for a connection that ends before the response is
  /// complete; called once.
  void OnClosed(std::function<void()> told);

  /// @brief Sets a callback for each time that the kernel has accepted all
  /// written bytes.
  void OnDrained(std::function<void()> told);

 private:
  std::weak_ptr<detail::ServerConnection> connection;
  bool started = false;
  bool ended = false;
  bool chunked = false;
  std::uint64_t left =
      0;  ///< bytes of the announced length that are not written yet
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_RESPONSE_WRITER_H_
