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

/// @brief A request received by the server.
struct ServerRequest {
  std::string method;
  std::string target;  ///< path and query, byte for byte
  std::string path;
  std::string query;
  std::vector<HttpHeader> headers;
  SharedBytes body;
  std::string peer;  ///< the client's address
  std::int64_t begun_ms =
      0;  ///< monotonic clock: when its first byte was received
};

/// @brief Handles the requests that an HttpServer receives.
class HttpService {
 public:
  virtual ~HttpService() = default;

  /// @brief Responds to `request` through `writer`, immediately or later.
  virtual void Serve(const ServerRequest& request,
                     std::unique_ptr<ResponseWriter> writer) = 0;
};

/// @brief Limits on the size and duration of requests and on connections.
struct ServerLimits {
  std::int64_t max_header_bytes = std::int64_t{32} * 1024;
  std::int64_t max_body_bytes = std::int64_t{1024} * 1024;
  /// From a request's first byte to the end of its head.
  std::int64_t header_timeout_ms = 10'000;
  /// From a request's first byte to its last.
  std::int64_t body_timeout_ms = 10'000;
  /// Longest time that a connection may be idle between requests.
  std::int64_t idle_timeout_ms = 60'000;
  /// Total size of the request bodies that all connections hold, so that many
  /// large ones can't exhaust the host's memory.
  std::int64_t max_held_bytes = std::int64_t{64} * 1024 * 1024;
  std::size_t max_connections = 8192;
};

/// @brief Paths of the PEM files with certificate and key; empty: no TLS.
struct TlsFiles {
  std::string certificate_file;
  std::string key_file;
};

namespace detail {
class ServerCore;
}  // namespace detail

/// @brief An HTTP/1.1 server, with or without TLS, on Qt's event loop.
class HttpServer {
 public:
  /// @param[in] service outlives the server
  HttpServer(HttpService* service, const ServerLimits& limits);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Starts to listen.
  /// @param[in] address an IP address
  /// @param[in] port 0: any free port
  /// @return the port, or an error that names the address or the TLS file
  absl::StatusOr<std::uint16_t> Listen(std::string_view address,
                                       std::uint16_t port, const TlsFiles& tls);

  /// @brief Replaces the limits; they apply from now on.
  void SetLimits(const ServerLimits& limits);

  /// @brief Closes idle connections now and the others after their current
  /// response. Later connections are closed after one response.
  void CloseConnections();

  /// @brief Number of open connections.
  std::size_t Connections() const;

  /// @brief Number of connections that were broken before their response was
  /// delivered.
  std::int64_t InterruptedResponses() const;

  /// @brief Number of connections with an unfinished request or an undelivered
  /// response. A response counts until the client's kernel has acknowledged it.
  /// If the process exits before this is zero, delivery is left to its kernel.
  /// @complexity one query of the kernel's queues per idle connection
  std::size_t UndeliveredCount() const;

 private:
  std::unique_ptr<detail::ServerCore> core;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_NET_HTTP_SERVER_H_
