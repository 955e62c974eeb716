#ifndef MEADOWTHREAD_CLAIMS_CLAIM_ERRORS_H_
#define MEADOWTHREAD_CLAIMS_CLAIM_ERRORS_H_

#include <cstdint>
#include <string_view>

#include "absl/status/status.h"
#include "base/error.h"

namespace meadowthread {

/// @brief An error of the claim step, with the code, outcome and message that
/// docs/design/claims.md gives its id.
/// @param[in] id of the 6xx, 4xx or key errors
/// @param[in] peer the shard, or empty
/// @param[in] retry_after_ms when to come back; -1: says nothing
absl::Status ClaimError(ErrorId id, std::string_view peer,
                        std::int64_t retry_after_ms);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_CLAIM_ERRORS_H_
