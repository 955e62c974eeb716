#ifndef MEADOWTHREAD_CLAIMS_CLAIM_KEY_H_
#define MEADOWTHREAD_CLAIMS_CLAIM_KEY_H_

#include <cstdint>
#include <string_view>

#include "absl/status/statusor.h"
#include "claims/claim_types.h"

namespace meadowthread {

/// @brief SHA-256 of workspace and key, each with its length, so that no two
/// pairs run into each other.
Hash256 KeyHash(std::string_view workspace, std::string_view key);

/// @brief The shard of a key.
/// @param[in] shards how many there are, at least 1
std::uint32_t ShardOf(std::string_view workspace, std::string_view key,
                      int shards);

/// @brief The time in front of a timed key, in milliseconds; kFieldInvalid
/// where there is none.
absl::StatusOr<std::int64_t> KeyTimeMs(std::string_view key);

/// @brief A fresh random nonce.
ClaimNonce NewNonce();

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_CLAIM_KEY_H_
