#ifndef MEADOWTHREAD_EXCHANGE_RPC_CHANNEL_H_
#define MEADOWTHREAD_EXCHANGE_RPC_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief Where a host answers control calls.
struct RpcPeer {
  std::string name;
  std::string address;  ///< an IP address
  std::uint16_t control_port = 0;

  friend bool operator==(const RpcPeer&, const RpcPeer&) = default;
};

/// @brief Receives the JSON text of the result, or an error with step and peer.
using RpcDone = std::function<void(const absl::StatusOr<std::string>&)>;

/// @brief Sends control calls to other hosts.
///
/// A call may arrive twice, when a reused connection breaks and the call is
/// repeated, so methods have to be idempotent.
class RpcChannel {
 public:
  virtual ~RpcChannel() = default;

  /// @brief Calls `method` of `peer`.
  /// @param[in] params JSON text of an object
  /// @param[in] timeout_ms includes the time in the queue
  /// @param[in] done called once, never before this returns, on the event
  /// loop's thread
  virtual void Call(const RpcPeer& peer, std::string_view method,
                    std::string_view params, std::int64_t timeout_ms,
                    const RpcDone& done) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_RPC_CHANNEL_H_
