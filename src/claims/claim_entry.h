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

/// @brief What an entry of a claim log says.
enum class EntryKind : std::uint8_t { kClaim, kRelease, kResult };

/// @brief One entry of a claim log.
struct ClaimEntry {
  EntryKind kind = EntryKind::kClaim;
  Hash256 key_hash{};
  Hash256 body_digest{};
  ClaimNonce nonce{};
  std::string host;
  /// Never less than the entry's before it, nor, for a timed key, than the
  /// key's time less the margin.
  std::int64_t unix_ms = 0;
  bool result_apart = false;  ///< the result stands in `results/<nonce>`
  ClaimResult result;         ///< of a kResult that is not apart
  /// As it stands in the document, where that is known: a head is written often
  /// and its entries do not change.
  std::string encoded;
};

/// @brief One segment of a shard's log: the head object, or an archived one.
struct ClaimSegment {
  std::int64_t number = 0;
  /// Stamp of the last entry of the segment before; -1: there is none.
  std::int64_t prior_ms = -1;
  bool sealed = false;  ///< final: nothing is ever appended to it
  /// The oldest segment that is still kept.
  std::int64_t oldest = 0;
  /// Stamp of the last entry that was dropped; -1: nothing was.
  std::int64_t dropped_ms = -1;
  std::vector<ClaimEntry> entries;

  /// @brief The stamp that the next entry may not go below.
  std::int64_t LastMs() const {
    return this->entries.empty() ? this->prior_ms
                                 : this->entries.back().unix_ms;
  }
};

/// @brief A nonce as it is written, 22 characters.
std::string NonceText(const ClaimNonce& nonce);

/// @brief An entry as it stands in a segment's document.
std::string EncodeEntry(const ClaimEntry& entry);

/// @brief Reads an entry; kStoreMalformed where it is none. Its `encoded` is
/// left empty, as the reader may change it before writing it.
/// @param[in] name where it came from, named in errors
absl::StatusOr<ClaimEntry> DecodeEntry(std::string_view text,
                                       std::string_view name);

/// @brief A segment as a JSON document.
std::string EncodeSegment(const ClaimSegment& segment);

/// @brief Reads a segment; kStoreMalformed where it is none.
/// @param[in] name the object, named in errors
absl::StatusOr<ClaimSegment> DecodeSegment(std::string_view text,
                                           std::string_view name);

/// @brief A result as a JSON document.
std::string EncodeResult(const ClaimResult& result);

/// @brief Reads a result; kStoreMalformed where it is none.
absl::StatusOr<ClaimResult> DecodeResult(std::string_view text,
                                         std::string_view name);

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLAIMS_CLAIM_ENTRY_H_
