#ifndef MEADOWTHREAD_EXCHANGE_RPC_DISPATCHER_H_
#define MEADOWTHREAD_EXCHANGE_RPC_DISPATCHER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief A synchronous method: takes the JSON text of the parameters, returns
/// that of the result.
using RpcHandler =
    std::function<absl::StatusOr<std::string>(std::string_view params)>;

/// @brief Receives the result of a method, to be called once, at once or later.
using RpcReply = std::function<void(const absl::StatusOr<std::string>&)>;

/// @brief An asynchronous method.
using RpcDeferredHandler =
    std::function<void(std::string_view params, const RpcReply& reply)>;

/// @brief Receives the complete text of a JSON-RPC response.
using RpcAnswer = std::function<void(std::string_view answer)>;

/// @brief Dispatches JSON-RPC 2.0 requests to methods, by libjsonrpccpp.
class RpcDispatcher {
 public:
  RpcDispatcher();
  ~RpcDispatcher();
  RpcDispatcher(const RpcDispatcher&) = delete;
  RpcDispatcher& operator=(const RpcDispatcher&) = delete;

  /// @brief Adds a synchronous method; a name has one handler.
  void Register(std::string_view method, const RpcHandler& handler);

  /// @brief Adds an asynchronous method.
  void RegisterDeferred(std::string_view method,
                        const RpcDeferredHandler& handler);

  /// @brief Handles one request; malformed bytes get an error response. Batches
  /// are refused, so that the body size limits the work per request.
  /// @param[in] answer called once
  void Handle(std::string_view request, const RpcAnswer& answer);

 private:
  class Methods;
  std::unique_ptr<Methods> methods;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_RPC_DISPATCHER_H_
