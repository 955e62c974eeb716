#ifndef MEADOWTHREAD_EXCHANGE_BLOCKING_RPC_CLIENT_H_
#define MEADOWTHREAD_EXCHANGE_BLOCKING_RPC_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>

// This header is included by C++14 and by C++20 sources.
namespace meadowthread {
namespace detail {

/// @brief How a blocking call ended.
enum class RpcOutcome {
  kResult,          ///< `text` is the result
  kPeerError,       ///< the peer returned an error; `text` is its `data`
  kConnectionLost,  ///< no connection, or it broke
  kTimedOut,        ///< no response within the timeout
  kMalformed,       ///< the response, or the parameters, could not be parsed
};

/// @brief Result of a blocking call.
struct RpcResult {
  RpcOutcome outcome;
  std::string text;     ///< JSON text
  std::string message;  ///< human-readable description of a failure
};

/// @brief Wraps libjsonrpccpp's client, whose headers need C++14, for sources
/// in newer C++.
///
/// Each call blocks its thread, and an object must be used by one thread only.
/// Connections to the most recent few peers are kept open.
class BlockingRpcClient {
 public:
  BlockingRpcClient();
  ~BlockingRpcClient();
  BlockingRpcClient(const BlockingRpcClient&) = delete;
  BlockingRpcClient& operator=(const BlockingRpcClient&) = delete;

  /// @brief Calls a method and waits for the response.
  /// @param[in] url of the peer
  /// @param[in] params JSON text of an object
  /// @param[in] timeout_ms above 0
  RpcResult Call(const std::string& url, const std::string& method,
                 const std::string& params, std::int64_t timeout_ms);

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace detail
}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_BLOCKING_RPC_CLIENT_H_
