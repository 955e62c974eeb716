#ifndef MEADOWTHREAD_CLAIMS_CLAIM_ENTRY_H_
#define MEADOWTHREAD_CLAIMS_CLAIM_ENTRY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "claims/claim_types.h"

namespace meadowthread {

/// @brief The kinds of entries in a claim log.
enum class EntryKind : std::uint8_t { kClaim, kRelease, kResult };

/// @brief One entry of a claim log.
struct ClaimEntry {
  EntryKind kind = EntryKind::kClaim;
  Hash256 key_hash{};
  Hash256 body_digest{};
  ClaimNonce nonce{};
  std::string host;  ///< the host that wrote it
  /// Timestamp: never below that of the previous entry and, for a timed key,
  /// never below the key's time minus the clock skew margin.
  std::int64_t unix_ms = 0;
  /// The result is in the object `results/<nonce>`, not in this entry.
  bool result_stored_separately = false;
  ClaimResult result;  ///< of a kResult entry that holds its result
  /// The entry's JSON, or empty. Cached, as every update rewrites the whole
  /// head although its existing entries do not change.
  std::string encoded;
};

/// @brief One segment of a shard's log: the head, or an archived segment.
struct ClaimSegment {
  std::int64_t number = 0;
  /// Timestamp of the last entry of the previous segment; -1 if there is none.
  std::int64_t prior_ms = -1;
  bool sealed = false;  ///< full: nothing is ever appended to it
  /// Number of the oldest segment that is still retained.
  std::int64_t oldest = 0;
  /// Timestamp of the last entry dropped by retention; -1 if none was.
  std::int64_t dropped_ms = -1;
  std::vector<ClaimEntry> entries;

  /// @brief The lower bound for the next entry's timestamp.
  std::int64_t LastTimestampMs() const {
    return this->entries.empty() ? this->prior_ms
                                 : this->entries.back().unix_ms;
  }
};

/// @brief A nonce as 22 characters of web-safe base64.
std::string EncodeNonce(const ClaimNonce& nonce);

/// @brief Encodes an entry as the JSON object that segments contain.
std::string EncodeEntry(const ClaimEntry& entry);

/// @brief Parses an entry. Its `encoded` stays empty, as the caller may change
/// the entry before writing it.
/// @param[in] name the entry's source, for error messages
/// @return the entry, or kStoreMalformed
absl::StatusOr<ClaimEntry> DecodeEntry(std::string_view text,
                                       std::string_view name);

/// @brief Encodes a segment as a JSON document.
std::string EncodeSegment(const ClaimSegment& segment);

/// @brief Parses a segment.
/// @param[in] name the object's name, for error messages
/// @return the segment, or kStoreMalformed
absl::StatusOr<ClaimSegment> DecodeSegment(std::string_view text,
                                           std::string_view name);

/// @brief Encodes a result as a JSON document.
std::string EncodeResult(const ClaimResult& result);

/// @brief Parses a result.
/// @param[in] name the object's name, for error messages
/// @return the result, or kStoreMalformed
absl::StatusOr<ClaimResult> DecodeResult(std::string_view text,
                                         std::string_view name);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_CLAIM_ENTRY_H_
