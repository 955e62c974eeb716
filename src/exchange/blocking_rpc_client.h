#ifndef MEADOWTHREAD_EXCHANGE_BLOCKING_RPC_CLIENT_H_
#define MEADOWTHREAD_EXCHANGE_BLOCKING_RPC_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>

// This header is read by C++14 and by C++20 sources.
namespace meadowthread {
namespace detail {

/// @brief How a blocking call ended.
enum class RpcEnd {
  kAnswered,   ///< `text` is the result
  kRefused,    ///< the peer answered an error; `text` is the error's data
  kLost,       ///< no connection, or it broke
  kSilent,     ///< the time limit passed
  kMalformed,  ///< the peer answered something else
};

/// @brief What a blocking call gave.
struct RpcResult {
  RpcEnd end;
  std::string text;     ///< JSON text
  std::string message;  ///< what happened, for a person
};

/// @brief libjsonrpccpp's client, apart from sources that need a newer C++.
///
/// Each call blocks its thread; one object serves one thread. Connections to
/// the latest few peers are kept open.
class BlockingRpcClient {
 public:
  BlockingRpcClient();
  ~BlockingRpcClient();
  BlockingRpcClient(const BlockingRpcClient&) = delete;
  BlockingRpcClient& operator=(const BlockingRpcClient&) = delete;

  /// @brief Calls a method and waits for its answer.
  /// @param[in] url of the peer
  /// @param[in] params JSON text of an object
  /// @param[in] limit_ms the longest wait, above 0
  RpcResult Call(const std::string& url, const std::string& method,
                 const std::string& params, std::int64_t limit_ms);

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace detail
}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_BLOCKING_RPC_CLIENT_H_
