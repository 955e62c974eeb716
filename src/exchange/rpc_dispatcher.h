#ifndef MEADOWTHREAD_EXCHANGE_RPC_DISPATCHER_H_
#define MEADOWTHREAD_EXCHANGE_RPC_DISPATCHER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief A method answered at once: parameters' JSON text to result's.
using RpcHandler =
    std::function<absl::StatusOr<std::string>(std::string_view params)>;

/// @brief Given a method's result, at once or later, once.
using RpcReply = std::function<void(const absl::StatusOr<std::string>&)>;

/// @brief A method answered later.
using RpcDeferredHandler =
    std::function<void(std::string_view params, const RpcReply& reply)>;

/// @brief Given the text of the whole JSON-RPC answer.
using RpcAnswer = std::function<void(std::string_view answer)>;

/// @brief Finds the method of a JSON-RPC 2.0 request, by libjsonrpccpp.
class RpcDispatcher {
 public:
  RpcDispatcher();
  ~RpcDispatcher();
  RpcDispatcher(const RpcDispatcher&) = delete;
  RpcDispatcher& operator=(const RpcDispatcher&) = delete;

  /// @brief Adds a method; a name has one handler.
  void Register(std::string_view method, const RpcHandler& handler);

  /// @brief Adds a method that answers later.
  void RegisterDeferred(std::string_view method,
                        const RpcDeferredHandler& handler);

  /// @brief Handles one request; whatever its bytes are, it is answered.
  /// Batches are refused, so that a body's size bounds its work.
  /// @param[in] answer called once
  void Handle(std::string_view request, const RpcAnswer& answer);

 private:
  class Methods;
  std::unique_ptr<Methods> methods;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_RPC_DISPATCHER_H_
