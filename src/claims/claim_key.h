#ifndef MEADOWTHREAD_CLAIMS_CLAIM_KEY_H_
#define MEADOWTHREAD_CLAIMS_CLAIM_KEY_H_

#include <cstdint>
#include <string_view>

#include "absl/status/statusor.h"
#include "claims/claim_types.h"

namespace meadowthread {

/// @brief SHA-256 of workspace and key. The workspace's length is hashed as
/// well, so that ("ab", "c") and ("a", "bc") differ.
Hash256 KeyHash(std::string_view workspace, std::string_view key);

/// @brief The shard of a key.
/// @param[in] shards the number of shards, at least 1
std::uint32_t ShardOf(std::string_view workspace, std::string_view key,
                      int shards);

/// @brief Parses the timestamp prefix of a timed key.
/// @return the time in milliseconds, or kFieldInvalid if there is none
absl::StatusOr<std::int64_t> KeyTimeMs(std::string_view key);

/// @brief Generates a random nonce.
ClaimNonce NewNonce();

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_CLAIM_KEY_H_
