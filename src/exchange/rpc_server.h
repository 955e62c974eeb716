#ifndef MEADOWTHREAD_EXCHANGE_RPC_SERVER_H_
#define MEADOWTHREAD_EXCHANGE_RPC_SERVER_H_

#include <QHostAddress>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "absl/status/statusor.h"
#include "exchange/rpc_dispatcher.h"
#include "net/http_server.h"

namespace meadowthread {

/// @brief Limits of control connections.
struct RpcServerSettings {
  std::int64_t max_body_bytes = std::int64_t{1} << 20;
  std::int64_t max_header_bytes = std::int64_t{16} << 10;
  int idle_timeout_ms = 30000;  ///< wait for the next complete request
  std::size_t max_connections = 1024;
};

/// @brief JSON-RPC server on the control port: `POST /rpc`.
class RpcServer final : public HttpService {
 public:
  explicit RpcServer(const RpcServerSettings& settings);

  /// @brief Adds a synchronous method.
  void Register(std::string_view method, const RpcHandler& handler);

  /// @brief Adds an asynchronous method.
  void RegisterDeferred(std::string_view method,
                        const RpcDeferredHandler& handler);

  /// @brief Starts to listen.
  /// @param[in] port 0: any free port
  /// @return the port, or kSettingsInvalid
  absl::StatusOr<std::uint16_t> Listen(const QHostAddress& address,
                                       std::uint16_t port);

  /// @brief Closes each connection after its current response.
  void CloseConnections() { this->server.CloseConnections(); }

  /// @brief Number of connections whose peers may still get a response.
  std::size_t UndeliveredCount() const {
    return this->server.UndeliveredCount();
  }

  void Serve(const ServerRequest& request,
             std::unique_ptr<ResponseWriter> writer) override;

 private:
  RpcDispatcher dispatcher;
  HttpServer server;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_RPC_SERVER_H_
