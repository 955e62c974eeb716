#include "claims/claim_key.h"

#include <QRandomGenerator>
#include <algorithm>
#include <charconv>
#include <cstring>
#include <string>

#include "base/error.h"
#include "xxhash.h"

namespace meadowthread {
namespace {

// Unix times in seconds have ten digits until the year 2286. The limit keeps
// the conversion to milliseconds from overflowing.
constexpr std::size_t kMaxTimestampDigits = 11;
constexpr std::int64_t kMsPerSecond = 1000;

std::string LengthPrefixed(std::string_view workspace, std::string_view key) {
  std::string joined = std::to_string(workspace.size());
  joined += ':';
  joined += workspace;
  joined += key;
  return joined;
}

absl::Status MissingTimestampError() {
  ErrorDetail detail;
  detail.id = ErrorId::kFieldInvalid;
  detail.outcome = Outcome::kNotRun;
  detail.step = "claim.key";
  detail.field = "Idempotency-Key";
  return MakeError(absl::StatusCode::kInvalidArgument, detail,
                   "the key must begin with the Unix time in seconds and '-'");
}

}  // namespace

Hash256 KeyHash(std::string_view workspace, std::string_view key) {
  return Sha256Of(LengthPrefixed(workspace, key));
}

std::uint32_t ShardOf(std::string_view workspace, std::string_view key,
                      int shards) {
  const std::string joined = LengthPrefixed(workspace, key);
  const XXH128_hash_t hash = XXH3_128bits(joined.data(), joined.size());
  return static_cast<std::uint32_t>(hash.low64 %
                                    static_cast<std::uint64_t>(shards));
}

absl::StatusOr<std::int64_t> KeyTimeMs(std::string_view key) {
  const std::size_t dash = key.find('-');
  if (dash == std::string_view::npos || dash == 0 ||
      dash > kMaxTimestampDigits) {
    return MissingTimestampError();
  }
  std::int64_t seconds = 0;
  const char* end = key.data() + dash;
  const auto [stop, error] = std::from_chars(key.data(), end, seconds);
  if (error != std::errc() || stop != end || seconds < 0) {
    return MissingTimestampError();
  }
  return seconds * kMsPerSecond;
}

ClaimNonce NewNonce() {
  std::array<quint32, sizeof(ClaimNonce) / sizeof(quint32)> words{};
  QRandomGenerator::system()->fillRange(words.data(),
                                        static_cast<qsizetype>(words.size()));
  ClaimNonce nonce{};
  std::memcpy(nonce.data(), words.data(), nonce.size());
  return nonce;
}

}  // namespace meadowthread
