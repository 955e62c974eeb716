#ifndef MEADOWTHREAD_NET_HTTP_CLIENT_H_
#define MEADOWTHREAD_NET_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/shared_bytes.h"

namespace meadowthread {

/// @brief A header of an HTTP request or response; names are case-insensitive.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// @brief An HTTP request to send, with its timeouts and rules for reuse and
/// resending.
struct HttpRequest {
  std::string method = "GET";
  std::string url;
  std::vector<HttpHeader> headers;
  SharedBytes body;
  std::int64_t connect_timeout_ms = 1000;
  std::int64_t total_timeout_ms = 0;  ///< 0: no limit
  std::int64_t idle_timeout_ms =
      0;  ///< longest time without data from the peer; 0: no limit
  /// The request is never sent twice. Other requests are resent once if a
  /// reused connection ended before any byte of the response was received.
  bool send_once = false;
  /// Longest idle time after which a pooled connection is still reused. The
  /// peer may have closed or forgotten a connection that was idle for longer;
  /// it is then unknown whether a request sent on it was processed.
  std::int64_t reuse_idle_ms = 8'000;
  /// A header that the response echoes. A response with another value belongs
  /// to another request and is discarded. An empty name turns the check off.
  HttpHeader response_echo;
};

/// @brief How an HTTP call ended.
struct HttpCallResult {
  /// OK if the complete response was received; otherwise kConnectFailed
  /// (nothing was sent), kConnectionLost, kPeerTimeout or kPeerMalformed, with
  /// step and peer.
  absl::Status status;
  int http_status = 0;  ///< 0 if no response head was received
  bool request_may_have_left =
      false;                    ///< false: no byte of the request was sent
  bool ended_by_close = false;  ///< the body had no length and ended when the
                                ///< peer closed the connection
  /// The connection was opened for this call, not taken from a pool.
  bool new_connection = false;
  /// The peer sent more than an answer may have, so the rest was not read.
  bool exceeded_limit = false;
};

/// @brief Receives the response to one call, on the event loop's thread.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  /// @brief The status and headers of the response were received.
  virtual void OnHead(int http_status, std::span<const HttpHeader> headers) = 0;

  /// @brief A part of the response body was received.
  virtual void OnData(std::string_view data) = 0;

  /// @brief The call ended; this is the last callback. Not called after Cancel.
  virtual void OnEnd(const HttpCallResult& end) = 0;
};

/// @brief Identifies a call in progress; 0 is never used.
using HttpCallId = std::uint64_t;

/// @brief Sends HTTP requests asynchronously on the event loop.
class HttpClient {
 public:
  virtual ~HttpClient() = default;

  /// @brief Starts a call; `handler` must live until OnEnd or Cancel and is
  /// never called from within Start.
  virtual HttpCallId Start(const HttpRequest& request,
                           HttpHandler* handler) = 0;

  /// @brief Aborts a call; its handler gets no further callback.
  virtual void Cancel(HttpCallId call) = 0;

  /// @brief Pauses or resumes reading a call's response (backpressure).
  virtual void SetPaused(HttpCallId call, bool paused) = 0;
};

/// @brief A complete HTTP response as received.
struct HttpResponse {
  int http_status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// @brief The result of Fetch; `response` is complete only if `end.status` is
/// OK.
struct FetchResult {
  HttpCallResult end;
  HttpResponse response;
};

/// @brief Sends a request and collects the complete response.
/// @param[in] client outlives the call
/// @param[in] limit_bytes a longer body ends the call as kPeerMalformed
/// @param[in] done called once, on the event loop
void Fetch(HttpClient& client, const HttpRequest& request,
           std::size_t limit_bytes,
           const std::function<void(const FetchResult&)>& done);

/// @brief The value of a header; empty if there is none.
std::string_view FindHeader(std::span<const HttpHeader> headers,
                            std::string_view name);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_HTTP_CLIENT_H_
