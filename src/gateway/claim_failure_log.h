#ifndef MEADOWTHREAD_GATEWAY_CLAIM_FAILURE_LOG_H_
#define MEADOWTHREAD_GATEWAY_CLAIM_FAILURE_LOG_H_

#include <functional>
#include <string_view>

#include "absl/status/status.h"

namespace meadowthread {

/// @brief Makes a completion callback that logs a failed operation on a claim.
///
/// After such a failure, retries with the same idempotency key get the outcome
/// 'unknown' for as long as the claim is kept.
/// @param[in] step the operation: "release" or "record"
std::function<void(const absl::Status&)> LogClaimFailure(
    std::string_view step, std::string_view request);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_CLAIM_FAILURE_LOG_H_
