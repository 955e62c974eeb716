#ifndef MEADOWTHREAD_EXCHANGE_RPC_CHANNEL_H_
#define MEADOWTHREAD_EXCHANGE_RPC_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace meadowthread {

/// @brief Where an entry host answers control calls.
struct RpcPeer {
  std::string name;
  std::string address;  ///< an IP number
  std::uint16_t control_port = 0;

  friend bool operator==(const RpcPeer&, const RpcPeer&) = default;
};

/// @brief Told the result's JSON text, or an error with step and peer.
using RpcDone = std::function<void(const absl::StatusOr<std::string>&)>;

/// @brief Calls between entry hosts.
///
/// A call may arrive twice (a reused connection that died): methods have to be
/// idempotent.
class RpcChannel {
 public:
  virtual ~RpcChannel() = default;

  /// @brief Calls `method` of `peer`.
  /// @param[in] params JSON text of an object
  /// @param[in] limit_ms the call's time limit, waiting for its turn included
  /// @param[in] done called once, later, on the event loop's thread
  virtual void Call(const RpcPeer& peer, std::string_view method,
                    std::string_view params, std::int64_t limit_ms,
                    const RpcDone& done) = 0;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_RPC_CHANNEL_H_
