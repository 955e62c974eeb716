#ifndef MEADOWTHREAD_NET_HTTP_SERVER_H_
#define MEADOWTHREAD_NET_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "net/http_client.h"
#include "net/response_writer.h"

namespace meadowthread {

/// @brief A request as it came in.
struct ServerRequest {
  std::string method;
  std::string target;  ///< path and query, byte for byte
  std::string path;
  std::string query;
  std::vector<HttpHeader> headers;
  std::string body;
  std::string peer;           ///< the caller's address
  std::int64_t begun_ms = 0;  ///< monotonic: when its first byte came
};

/// @brief What answers requests.
class HttpService {
 public:
  virtual ~HttpService() = default;

  /// @brief Answers `request` through `writer`, now or later.
  virtual void Serve(const ServerRequest& request,
                     std::unique_ptr<ResponseWriter> writer) = 0;
};

/// @brief Bounds on what a caller may send.
struct ServerLimits {
  std::int64_t max_header_bytes = std::int64_t{32} * 1024;
  std::int64_t max_body_bytes = std::int64_t{1024} * 1024;
  /// From a request's first byte to the end of its head.
  std::int64_t header_timeout_ms = 10'000;
  /// From a request's first byte to its last.
  std::int64_t body_timeout_ms = 10'000;
  /// Longest rest of a connection without a request.
  std::int64_t idle_timeout_ms = 60'000;
  /// Unfinished requests of all connections together, so that many long ones
  /// can't use up the host's memory.
  std::int64_t max_held_bytes = std::int64_t{64} * 1024 * 1024;
  std::size_t max_connections = 8192;
};

/// @brief Where certificate and key lie; empty: no TLS.
struct TlsFiles {
  std::string certificate_file;
  std::string key_file;
};

namespace detail {
class ServerCore;
}  // namespace detail

/// @brief An HTTP/1.1 server on Qt's event loop.
class HttpServer {
 public:
  /// @param[in] service outlives the server
  HttpServer(HttpService* service, const ServerLimits& limits);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Starts to listen.
  /// @param[in] address an IP number
  /// @param[in] port 0: any free one
  /// @return the port, or an error naming the address or the TLS file
  absl::StatusOr<std::uint16_t> Listen(std::string_view address,
                                       std::uint16_t port, const TlsFiles& tls);

  /// @brief Bounds for requests from now on.
  void SetLimits(const ServerLimits& limits);

  /// @brief From now on each connection ends after its present answer, and at
  /// once where there is none.
  void CloseConnections();

  /// @brief Connections that stand.
  std::size_t Connections() const;

  /// @brief Connections that were broken with an answer on them.
  std::int64_t AnswersCut() const;

  /// @brief Connections whose callers may still get something: an answer counts
  /// until the caller's kernel has it. A process that ends before this is zero
  /// leaves what is on its way to its own kernel.
  /// @complexity one call of the kernel a connection that rests
  std::size_t Owed() const;

 private:
  std::unique_ptr<detail::ServerCore> core;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_HTTP_SERVER_H_
