#ifndef MEADOWTHREAD_CLAIMS_CLAIM_ERRORS_H_
#define MEADOWTHREAD_CLAIMS_CLAIM_ERRORS_H_

#include <cstdint>
#include <string_view>

#include "absl/status/status.h"
#include "base/error.h"

namespace meadowthread {

/// @brief Builds an error of the claim step, with the status code, outcome and
/// message that belong to its id (docs/design/claims.md).
/// @param[in] id a claim error (6xx), a store error (4xx), or an error of the
/// deadline or of the idempotency key
/// @param[in] peer the name of the shard's head object, or empty
/// @param[in] retry_after_ms delay after which the caller may retry; -1: none
absl::Status ClaimError(ErrorId id, std::string_view peer,
                        std::int64_t retry_after_ms);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_CLAIM_ERRORS_H_
