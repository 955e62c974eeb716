#include "gateway/prompt_estimate.h"

#include <xxhash.h>

namespace meadowthread {
namespace {

// English and Spanish text has about four bytes per token.
constexpr std::int64_t kBytesPerToken = 4;
constexpr std::size_t kPrefixBytes = 256;

}  // namespace

std::int64_t EstimateTokens(std::string_view prompt) {
  return static_cast<std::int64_t>(prompt.size()) / kBytesPerToken + 1;
}

std::uint64_t PrefixHash(std::string_view prompt) {
  const std::string_view prefix = prompt.substr(0, kPrefixBytes);
  return XXH64(prefix.data(), prefix.size(), 0);
}

}  // namespace meadowthread
