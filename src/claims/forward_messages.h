#ifndef MEADOWTHREAD_CLAIMS_FORWARD_MESSAGES_H_
#define MEADOWTHREAD_CLAIMS_FORWARD_MESSAGES_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "claims/claim_forwarder.h"

namespace meadowthread {

/// @brief Encodes an operation as a JSON object.
std::string EncodeForwardedOp(const ForwardedOp& op);

/// @brief Parses an operation; an error names the invalid field.
absl::StatusOr<ForwardedOp> DecodeForwardedOp(std::string_view text);

/// @brief Encodes an answer as a JSON object; errors in it keep their
/// ErrorDetail.
/// @param[in] op the operation that is answered; its kind selects `claim` or
/// `recorded`
std::string EncodeForwardedAnswer(const ForwardedOp& op,
                                  const ForwardedAnswer& answer);

/// @brief Parses an answer; an error names the invalid field. A grant with
/// another nonce than that of `op` is an error.
/// @param[in] op the operation that is answered
absl::StatusOr<ForwardedAnswer> DecodeForwardedAnswer(const ForwardedOp& op,
                                                      std::string_view text);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_FORWARD_MESSAGES_H_
