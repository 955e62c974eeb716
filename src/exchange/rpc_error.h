#ifndef MEADOWTHREAD_EXCHANGE_RPC_ERROR_H_
#define MEADOWTHREAD_EXCHANGE_RPC_ERROR_H_

#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace meadowthread {

/// @brief The `data` of a JSON-RPC error that carries `status` whole.
std::string RpcErrorData(const absl::Status& status);

/// @brief The status that a peer's error carries; kRejectedByPeer where it
/// carries none.
/// @param[in] data JSON text of the error's `data`
/// @param[in] message the error's message
/// @param[in] peer named where the error names none
absl::Status RpcErrorFromData(std::string_view data, std::string_view message,
                              std::string_view peer);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_RPC_ERROR_H_
