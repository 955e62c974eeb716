#ifndef MEADOWTHREAD_EXCHANGE_RPC_ERROR_H_
#define MEADOWTHREAD_EXCHANGE_RPC_ERROR_H_

#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace meadowthread {

/// @brief The `data` of a JSON-RPC error, with the code and detail of `status`.
std::string RpcErrorData(const absl::Status& status);

/// @brief The status in a peer's JSON-RPC error; kRejectedByPeer if it has
/// none.
/// @param[in] data JSON text of the error's `data`
/// @param[in] message the error's message
/// @param[in] peer name to use if the error names none
absl::Status RpcErrorFromData(std::string_view data, std::string_view message,
                              std::string_view peer);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_EXCHANGE_RPC_ERROR_H_
