#ifndef MEADOWTHREAD_NET_HTTP_CLIENT_H_
#define MEADOWTHREAD_NET_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief One header of a request or an answer; names compare without case.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// @brief A request to be sent.
struct HttpRequest {
  std::string method = "GET";
  std::string url;
  std::vector<HttpHeader> headers;
  std::string body;
  std::int64_t connect_timeout_ms = 1000;
  std::int64_t total_timeout_ms = 0;  ///< 0: no limit
  std::int64_t idle_timeout_ms = 0;   ///< longest silence; 0: no limit
  /// Never sent twice, whatever becomes of its connection. Others are sent a
  /// second time where a connection that was used before ended unanswered.
  bool send_once = false;
  /// Longest rest of a connection that may be used again. A peer may have
  /// closed or forgotten it: what is sent then is lost, and unknown.
  std::int64_t reuse_idle_ms = 8'000;
  /// A header that answers repeat: another one's belongs to another request
  /// and is passed over. Without a name nothing is compared.
  HttpHeader answer_echo;
};

/// @brief How a call ended.
struct HttpEnd {
  /// OK once the whole answer came; else kConnectFailed (nothing was sent),
  /// kConnectionLost or kPeerSilent, with step and peer.
  absl::Status status;
  int http_status = 0;                 ///< 0 where no answer's head came
  bool request_may_have_left = false;  ///< false: certainly no byte was sent
  bool ended_by_close = false;  ///< nothing but an orderly close ended the body
};

/// @brief What a caller of the client is told, on the event loop's thread.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  /// @brief The answer's head came.
  virtual void OnHead(int http_status, std::span<const HttpHeader> headers) = 0;

  /// @brief A piece of the answer's body came.
  virtual void OnData(std::string_view data) = 0;

  /// @brief The call ended; nothing follows. Not called after Cancel.
  virtual void OnEnd(const HttpEnd& end) = 0;
};

/// @brief Names a call in progress; 0 names none.
using HttpCallId = std::uint64_t;

/// @brief Sends requests without blocking, on the event loop.
class HttpClient {
 public:
  virtual ~HttpClient() = default;

  /// @brief Starts a call; `handler` must live until OnEnd or Cancel and is
  /// never called from within Start.
  virtual HttpCallId Start(const HttpRequest& request,
                           HttpHandler* handler) = 0;

  /// @brief Ends a call at once; its handler hears no more of it.
  virtual void Cancel(HttpCallId call) = 0;

  /// @brief Stops or goes on reading a call's answer (back pressure).
  virtual void SetPaused(HttpCallId call, bool paused) = 0;
};

/// @brief A whole answer.
struct HttpResponse {
  int http_status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// @brief How a whole fetch ended: `end.status` tells whether `response` is
/// whole.
struct HttpFetched {
  HttpEnd end;
  HttpResponse response;
};

/// @brief Sends a request and gathers its whole answer.
/// @param[in] client outlives the call
/// @param[in] limit_bytes a longer body ends the call as kPeerMalformed
/// @param[in] done called once, on the event loop
void Fetch(HttpClient& client, const HttpRequest& request,
           std::size_t limit_bytes,
           const std::function<void(const HttpFetched&)>& done);

/// @brief The value of a header, empty where it is missing.
std::string_view FindHeader(std::span<const HttpHeader> headers,
                            std::string_view name);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_HTTP_CLIENT_H_
