#ifndef MEADOWTHREAD_CLAIMS_CLAIM_TYPES_H_
#define MEADOWTHREAD_CLAIMS_CLAIM_TYPES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "base/sha256.h"

namespace meadowthread {

/// @brief A random 128-bit number that identifies one submission of a request.
using ClaimNonce = std::array<std::uint8_t, 16>;

/// @brief The format of the callers' idempotency keys, set by the template.
enum class KeyForm {
  kTimed,   ///< `<unix seconds>-<any text>`: at most once without a time limit
  kOpaque,  ///< any text: at most once within the retention period only
};

/// @brief One submission of a request that must run at most once.
struct ClaimRequest {
  std::string workspace;
  std::string key;  ///< the idempotency key, as the caller gave it
  KeyForm key_form = KeyForm::kTimed;
  Hash256 body_digest{};  ///< SHA-256 of the request's body
  std::int64_t deadline_unix_ms = 0;
};

/// @brief Permission to send one request once.
struct ClaimGrant {
  ClaimNonce nonce{};
  Hash256 key_hash{};
  Hash256 body_digest{};
  std::uint32_t shard = 0;
  std::int64_t deadline_unix_ms = 0;

  /// @brief Whether the request may still be sent; check it right before the
  /// first byte is sent.
  /// @param[in] now_unix_ms the current wall time
  bool MaySend(std::int64_t now_unix_ms) const {
    return now_unix_ms < this->deadline_unix_ms;
  }
};

/// @brief The recorded response of a request that ran, returned to retries.
struct ClaimResult {
  int status = 0;
  std::string content_type;
  std::string body;

  friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
};

/// @brief Either the permission to send, or the recorded response.
using ClaimAnswer = std::variant<ClaimGrant, ClaimResult>;

/// @brief Sizes and times of the claim service.
struct ClaimSettings {
  int shards = 8;
  std::string host;  ///< this host's name; stored in entries for debugging
  std::size_t segment_bytes = std::size_t{64} * 1024;
  /// Larger results are stored in an object of their own.
  std::size_t inline_result_bytes = 1024;
  std::size_t max_result_bytes = std::size_t{700} * 1024;
  std::size_t max_index_entries = 200'000;  ///< per shard
  std::size_t max_waiting = 10'000;         ///< queued operations per shard
  /// How long the first queued operation waits for others to share its write.
  std::int64_t batch_window_ms = 5;
  /// Least time between two updates of a shard by one host. With one writer per
  /// shard, it limits the update rate of all shards to shards / interval at any
  /// load.
  std::int64_t write_interval_ms = 20;
  std::int64_t retry_ms = 50;       ///< delay before the first retry
  std::int64_t max_retry_ms = 500;  ///< upper bound of the exponential backoff
  std::int64_t claim_timeout_ms = 2'000;
  std::int64_t record_timeout_ms = 30'000;  ///< for results and releases
  /// Without an answer after this time, the sender writes the log itself.
  std::int64_t forward_timeout_ms = 300;
  /// Retry-after time that callers get with an error they may retry.
  std::int64_t outage_retry_after_ms = 1'000;
  std::int64_t retention_ms = 24LL * 60 * 60 * 1000;
  /// Tolerated difference between the time in a key and the hosts' clocks.
  std::int64_t clock_skew_margin_ms = 60LL * 1000;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_CLAIM_TYPES_H_
