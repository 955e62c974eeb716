#ifndef MEADOWTHREAD_GATEWAY_CLAIM_LOG_H_
#define MEADOWTHREAD_GATEWAY_CLAIM_LOG_H_

#include <functional>
#include <string_view>

#include "absl/status/status.h"

namespace meadowthread {

/// @brief What to do with the end of a step on a claim that nobody waits for:
/// a failure gets a line of the log. Retries with its key are then told
/// 'unknown' for as long as the claim is kept.
/// @param[in] step "release" or "record"
std::function<void(const absl::Status&)> LogClaimFailure(
    std::string_view step, std::string_view request);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_GATEWAY_CLAIM_LOG_H_
