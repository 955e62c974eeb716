#ifndef MEADOWTHREAD_CLAIMS_CLAIM_TYPES_H_
#define MEADOWTHREAD_CLAIMS_CLAIM_TYPES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "base/sha256.h"

namespace meadowthread {

/// @brief A random number that names one submission for good.
using ClaimNonce = std::array<std::uint8_t, 16>;

/// @brief What the template says about callers' keys.
enum class KeyForm {
  kTimed,   ///< `<unix seconds>-<any text>`: at most once without a time limit
  kOpaque,  ///< any text: at most once within the retention only
};

/// @brief One submission of a request that may run at most once.
struct ClaimRequest {
  std::string workspace;
  std::string key;
  KeyForm key_form = KeyForm::kTimed;
  Hash256 body_digest{};
  std::int64_t deadline_unix_ms = 0;
};

/// @brief The right to send one request once.
struct ClaimGrant {
  ClaimNonce nonce{};
  Hash256 key_hash{};
  Hash256 body_digest{};
  std::uint32_t shard = 0;
  std::int64_t deadline_unix_ms = 0;

  /// @brief To be asked right before the first byte is sent.
  /// @param[in] now_unix_ms the time now
  bool MaySend(std::int64_t now_unix_ms) const {
    return now_unix_ms < this->deadline_unix_ms;
  }
};

/// @brief The answer of a request that ran, as a retry gets it.
struct ClaimResult {
  int status = 0;
  std::string content_type;
  std::string body;

  friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
};

/// @brief Either the right to send, or the recorded answer.
using ClaimAnswer = std::variant<ClaimGrant, ClaimResult>;

/// @brief Sizes and times of the claim service.
struct ClaimSettings {
  int shards = 8;
  std::string host;  ///< written into entries, for a person who reads the log
  std::size_t segment_bytes = std::size_t{64} * 1024;
  std::size_t inline_result_bytes = 1024;
  std::size_t max_result_bytes = std::size_t{700} * 1024;
  std::size_t max_index_entries = 200'000;  ///< a shard
  std::size_t max_waiting = 10'000;         ///< a shard
  std::int64_t batch_window_ms = 5;
  /// Between two updates of a shard by one host: with one writer a shard, no
  /// more than shards / interval updates a second go out, whatever the load.
  std::int64_t write_interval_ms = 20;
  std::int64_t retry_ms = 50;
  std::int64_t max_retry_ms = 500;  ///< in an outage
  std::int64_t settle_limit_ms = 2'000;
  std::int64_t record_limit_ms = 30'000;
  std::int64_t forward_limit_ms = 300;
  std::int64_t outage_retry_after_ms = 1'000;
  std::int64_t retention_ms = 24LL * 60 * 60 * 1000;
  std::int64_t key_margin_ms = 60LL * 1000;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_CLAIM_TYPES_H_
