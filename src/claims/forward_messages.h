#ifndef MEADOWTHREAD_CLAIMS_FORWARD_MESSAGES_H_
#define MEADOWTHREAD_CLAIMS_FORWARD_MESSAGES_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "claims/claim_forwarder.h"

namespace meadowthread {

/// @brief An operation as a JSON object.
std::string EncodeForwardedOp(const ForwardedOp& op);

/// @brief Reads an operation; an error names the field at fault.
absl::StatusOr<ForwardedOp> DecodeForwardedOp(std::string_view text);

/// @brief An answer as a JSON object: errors in it are whole, their ErrorDetail
/// included.
/// @param[in] op what was asked; its kind says which part is the answer
std::string EncodeForwardedAnswer(const ForwardedOp& op,
                                  const ForwardedAnswer& answer);

/// @brief Reads an answer; an error names the field at fault. A grant is
/// that of `op`: one of another nonce is an error.
/// @param[in] op what was asked
absl::StatusOr<ForwardedAnswer> DecodeForwardedAnswer(const ForwardedOp& op,
                                                      std::string_view text);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_FORWARD_MESSAGES_H_
